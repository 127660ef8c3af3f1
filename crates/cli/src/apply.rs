//! `sardinevalve apply`.

use super::*;

/// Between two looks at whether a change is in force.
const POLL: Duration = Duration::from_millis(50);

/// Longest wait for a change to be in force.
const FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Exit code for a change that lost against another.
const EXIT_CONFLICT: u8 = 5;

/// A change as the operator asks for it.
#[derive(Debug)]
pub(crate) struct Change<'a> {
    pub(crate) file: &'a Path,
    pub(crate) base: Option<Revision>,
    pub(crate) request: Option<&'a str>,
    pub(crate) author: &'a str,
}

pub(crate) fn run(
    client: &Client,
    change: &Change,
    wait: bool,
    json: bool,
) -> eyre::Result<ExitCode> {
    let text = fs::read_to_string(change.file)
        .wrap_err_with(|| format!("cannot read `{}`", change.file.display()))?;
    settings::config(&change.file.display().to_string(), &text)?;
    let base = match change.base {
        Some(base) => base,
        None => present(client)?,
    };
    let request = change.request.map_or_else(request_id, str::to_owned);
    let reply = client.apply(&text, &request, change.author, base)?;
    let Reply::Applied { verdict, index } = &reply else {
        bail!("outcome is unknown: repeat with `--request {request} --base {base}`");
    };
    if wait && matches!(verdict, fleet::Verdict::Accepted { .. }) {
        await_force(client, *index)?;
    }
    show::reply(&reply, json)?;
    match verdict {
        fleet::Verdict::Accepted { .. } => Ok(ExitCode::SUCCESS),
        fleet::Verdict::Conflict { .. } => Ok(ExitCode::from(EXIT_CONFLICT)),
    }
}

fn present(client: &Client) -> eyre::Result<Revision> {
    match client.config()? {
        Reply::Config { revision, .. } => Ok(revision),
        reply => bail!("unexpected reply `{reply:?}`"),
    }
}

fn await_force(client: &Client, index: Index) -> eyre::Result<()> {
    let started = Instant::now();
    while started.elapsed() < FORCE_TIMEOUT {
        if let Reply::Status(Status { forced, .. }) = client.status()?
            && forced >= index
        {
            return Ok(());
        }
        thread::sleep(POLL);
    }
    bail!("the change is accepted, but not known to be in force after {FORCE_TIMEOUT:?}")
}

/// An id that no other request has.
fn request_id() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-{}", now.as_nanos(), std::process::id())
}
