//! Reduces recorded events again, and compares the effects.

use super::*;

/// Replays the recording at `path`, and returns the number of events.
pub(crate) fn run(path: &Path) -> eyre::Result<u64> {
    let file = fs::File::open(path)
        .wrap_err_with(|| format!("cannot open recording `{}`", path.display()))?;
    let mut file = BufReader::new(file);
    let origin: Option<Origin> = read(&mut file)?;
    let mut state = origin.ok_or_else(|| eyre::eyre!("recording is empty"))?.state();
    let mut number = 0;
    while let Some(Step { now, event, effects }) = read(&mut file)? {
        number += 1;
        let what = format!("{event:?}");
        let actual = state.reduce(now, event);
        eyre::ensure!(
            Step::hash(&actual) == effects,
            "effects of event {number} differ: `{what}` at {now:?} now gives {actual:?}"
        );
    }
    Ok(number)
}

/// The next item; `None` at the end, and where the last item was cut short.
fn read<T: DeserializeOwned>(file: &mut impl Read) -> eyre::Result<Option<T>> {
    let mut length = [0; 4];
    if file.read_exact(&mut length).is_err() {
        return Ok(None);
    }
    let mut bytes = vec![0; u32::from_le_bytes(length) as usize];
    if file.read_exact(&mut bytes).is_err() {
        return Ok(None);
    }
    Ok(Some(postcard::from_bytes(&bytes)?))
}
