//! `sardinevalve diff`, `label` and `undo`.

use super::*;

/// Prints how the configuration in `file` differs from the current one.
pub(crate) fn diff(client: &Client, file: &Path, json: bool) -> eyre::Result<ExitCode> {
    let (wanted, _) = apply::read_config(file)?;
    let (revision, current) = client.current_config()?;
    let diff = settings::diff(&current, &wanted);
    if json {
        let diff: Vec<_> = diff.lines().collect();
        println!("{}", serde_json::json!({ "revision": revision, "diff": diff }));
    } else if diff.is_empty() {
        println!("nothing differs from revision {revision}");
    } else {
        print!("{diff}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Sets or removes labels of an instance in the current configuration.
pub(crate) fn label(
    client: &Client,
    instance: &str,
    labels: &[String],
    options: &RequestOptions,
    json: bool,
) -> eyre::Result<ExitCode> {
    let (revision, mut config) = client.current_config()?;
    let entry = config.instances.entry(instance.into()).or_default();
    for label in labels {
        match label.strip_suffix('=') {
            Some(key) => entry.labels.remove(key),
            None => entry.labels.merge(&label.parse()?),
        }
    }
    if entry.labels.is_empty() {
        config.instances.remove(instance);
    }
    apply::send(client, &settings::text(&config), revision, options, false, json)
}

/// Undoes the change to `revision`, by default the current one: proposes the configuration of the
/// revision before it as a new change.
pub(crate) fn undo(
    client: &Client,
    revision: Option<Revision>,
    options: &RequestOptions,
    json: bool,
) -> eyre::Result<ExitCode> {
    let (current, _) = client.current_config()?;
    let Some(former) = revision.unwrap_or(current).checked_sub(1) else {
        bail!("there is nothing to undo");
    };
    let config = match former {
        0 => Config::default(),
        former => match client.config(Some(former))? {
            Reply::Config { config, .. } => config,
            _ => bail!("revision {former} is no longer kept"),
        },
    };
    apply::send(client, &settings::text(&config), current, options, false, json)
}
