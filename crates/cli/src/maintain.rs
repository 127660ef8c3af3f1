//! `sardinevalve maintain`, `forget` and `explain`.

use super::*;

pub(crate) fn run(client: &Client, command: &Maintain, json: bool) -> eyre::Result<ExitCode> {
    let (wave, action, options) = match command {
        Maintain::Start { wave, selector, options } => {
            let body = serde_json::json!({ "wave": wave, "action": "start", "selector": selector });
            return show::reply(&client.post("waves", options, &body)?, json);
        }
        Maintain::Pause { wave, options } => (wave, "pause", options),
        Maintain::Resume { wave, options } => (wave, "resume", options),
        Maintain::Cancel { wave, options } => (wave, "cancel", options),
        Maintain::Status { wave } => return status(client, wave.as_deref(), json),
    };
    let body = serde_json::json!({ "wave": wave, "action": action });
    show::reply(&client.post("waves", options, &body)?, json)
}

fn status(client: &Client, wave: Option<&str>, json: bool) -> eyre::Result<ExitCode> {
    let Reply::Waves { mut waves } = client.get("waves")? else {
        bail!("unexpected reply from the daemon")
    };
    if let Some(wave) = wave {
        waves.retain(|name, _| **name == *wave);
        if waves.is_empty() {
            bail!("wave `{wave}` does not exist");
        }
    }
    show::reply(&Reply::Waves { waves }, json)
}

pub(crate) fn forget(
    client: &Client,
    instance: &str,
    options: &RequestOptions,
    json: bool,
) -> eyre::Result<ExitCode> {
    let body = serde_json::json!({ "instance": instance });
    show::reply(&client.post("forget", options, &body)?, json)
}

pub(crate) fn explain(
    client: &Client,
    kind: SubjectKind,
    name: Option<&str>,
    json: bool,
) -> eyre::Result<ExitCode> {
    let query = match (kind, name) {
        (SubjectKind::Config, _) => "config".into(),
        (_, None) => bail!("a name is required to explain an instance, a pool or a wave"),
        (SubjectKind::Instance, Some(name)) => format!("instance={name}"),
        (SubjectKind::Pool, Some(name)) => format!("pool={name}"),
        (SubjectKind::Wave, Some(name)) => format!("wave={name}"),
    };
    show::reply(&client.get(&format!("explain?{query}"))?, json)
}
