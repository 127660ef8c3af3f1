//! `sardinevalve apply`.

use super::*;

/// Interval at which the tool asks a daemon whether a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time to wait for a change to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) fn run(
    client: &Client,
    file: &Path,
    base: Option<Revision>,
    options: &RequestOptions,
    wait: bool,
    json: bool,
) -> eyre::Result<ExitCode> {
    let text = read_config(file)?.1;
    let base = match base {
        Some(base) => base,
        None => client.current_config()?.0,
    };
    send(client, &text, base, options, wait, json)
}

/// Reads and parses a configuration file. Returns its text as well.
pub(crate) fn read_config(file: &Path) -> eyre::Result<(Config, String)> {
    let text =
        fs::read_to_string(file).wrap_err_with(|| format!("cannot read `{}`", file.display()))?;
    Ok((settings::config(&file.display().to_string(), &text)?, text))
}

/// Proposes the configuration `text` as a change to revision `base`, and prints the reply.
pub(crate) fn send(
    client: &Client,
    text: &str,
    base: Revision,
    options: &RequestOptions,
    wait: bool,
    json: bool,
) -> eyre::Result<ExitCode> {
    let request = options.request_id();
    let reply = client.apply(text, &request, &options.author, base)?;
    let Reply::Applied { verdict, index } = &reply else {
        bail!("outcome is unknown: repeat with `--request {request} --base {base}`");
    };
    if wait && !verdict.refused() {
        wait_until_in_force(client, *index)?;
    }
    show::reply(&reply, json)
}

/// Waits until the log entry `index` is in force: no daemon acts without having applied it.
fn wait_until_in_force(client: &Client, index: Index) -> eyre::Result<()> {
    let started = Instant::now();
    while started.elapsed() < IN_FORCE_TIMEOUT {
        if let Reply::Status(Status { forced, .. }) = client.status()?
            && forced >= index
        {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
    bail!("the change is accepted, but not known to be in force after {IN_FORCE_TIMEOUT:?}")
}

impl RequestOptions {
    /// The id given by the operator, or a new unique one.
    pub(crate) fn request_id(&self) -> String {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unique = || format!("{}-{}", now.as_nanos(), std::process::id());
        self.request.clone().unwrap_or_else(unique)
    }
}
