//! `sardinevalve diff`, `label` and `undo`.

use super::*;

pub(crate) fn diff(client: &Client, file: &Path, json: bool) -> eyre::Result<ExitCode> {
    let (wanted, _) = apply::read(file)?;
    let (revision, present) = client.present()?;
    let diff = settings::diff(&present, &wanted);
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

pub(crate) fn label(
    client: &Client,
    instance: &str,
    labels: &[String],
    signature: &Signature,
    json: bool,
) -> eyre::Result<ExitCode> {
    let (revision, mut config) = client.present()?;
    let known = config.instances.entry(instance.into()).or_default();
    for label in labels {
        match label.strip_suffix('=') {
            Some(key) => known.labels.remove(key),
            None => known.labels.merge(&label.parse()?),
        }
    }
    if known.labels.is_empty() {
        config.instances.remove(instance);
    }
    apply::send(client, &settings::text(&config), revision, signature, false, json)
}

pub(crate) fn undo(
    client: &Client,
    revision: Option<Revision>,
    signature: &Signature,
    json: bool,
) -> eyre::Result<ExitCode> {
    let (present, _) = client.present()?;
    let Some(former) = revision.unwrap_or(present).checked_sub(1) else {
        bail!("there is nothing to undo");
    };
    let config = match former {
        0 => Config::default(),
        former => match client.config(Some(former))? {
            Reply::Config { config, .. } => config,
            _ => bail!("revision {former} is not kept any more"),
        },
    };
    apply::send(client, &settings::text(&config), present, signature, false, json)
}
