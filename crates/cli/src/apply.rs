//! `sardinevalve apply`.

use super::*;

/// Between two looks at whether a change is in force.
const POLL: Duration = Duration::from_millis(50);

/// Longest wait for a change to be in force.
const FORCE_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) fn run(
    client: &Client,
    file: &Path,
    base: Option<Revision>,
    signature: &Signature,
    wait: bool,
    json: bool,
) -> eyre::Result<ExitCode> {
    let text = read(file)?.1;
    let base = match base {
        Some(base) => base,
        None => client.present()?.0,
    };
    send(client, &text, base, signature, wait, json)
}

/// Reads and checks a configuration file.
pub(crate) fn read(file: &Path) -> eyre::Result<(Config, String)> {
    let text =
        fs::read_to_string(file).wrap_err_with(|| format!("cannot read `{}`", file.display()))?;
    Ok((settings::config(&file.display().to_string(), &text)?, text))
}

/// Asks for the configuration `text` in place of revision `base`.
pub(crate) fn send(
    client: &Client,
    text: &str,
    base: Revision,
    signature: &Signature,
    wait: bool,
    json: bool,
) -> eyre::Result<ExitCode> {
    let request = signature.id();
    let reply = client.apply(text, &request, &signature.author, base)?;
    let Reply::Applied { verdict, index } = &reply else {
        bail!("outcome is unknown: repeat with `--request {request} --base {base}`");
    };
    if wait && !verdict.refused() {
        await_force(client, *index)?;
    }
    show::reply(&reply, json)
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

impl Signature {
    /// The id that was given, or one that no other request has.
    pub(crate) fn id(&self) -> String {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let new = || format!("{}-{}", now.as_nanos(), std::process::id());
        self.request.clone().unwrap_or_else(new)
    }
}
