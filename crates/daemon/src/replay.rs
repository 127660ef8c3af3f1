//! Replays recorded events, and compares the effects.

use super::*;

/// Replays the recording at `path`, and returns the number of events.
pub(crate) fn run(path: &Path) -> eyre::Result<u64> {
    let file = fs::File::open(path)
        .wrap_err_with(|| format!("cannot open recording `{}`", path.display()))?;
    let mut file = BufReader::new(file);
    let initial_state: Option<InitialState> = read(&mut file)?;
    let mut state = initial_state.ok_or_else(|| eyre::eyre!("recording is empty"))?.into_state();
    let mut number = 0;
    while let Some(Step { now, event, effects }) = read(&mut file)? {
        number += 1;
        let description = format!("{event:?}");
        let actual = state.reduce(now, event);
        eyre::ensure!(
            Step::hash(&actual) == effects,
            "effects of event {number} differ: `{description}` at {now:?} now gives {actual:?}"
        );
    }
    Ok(number)
}

/// Reads the next item; `None` at the end of the file, or if the last item is truncated.
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
