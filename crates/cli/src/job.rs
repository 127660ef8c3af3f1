//! `sardinevalve job`.

use super::*;

pub(crate) fn run(client: &Client, command: &JobCommand, json: bool) -> eyre::Result<ExitCode> {
    match command {
        JobCommand::Submit { file } => submit(client, file, json),
        JobCommand::Cancel { id } => show::reply(&client.cancel_job(id)?, json),
        JobCommand::Show { id } => show::reply(&client.get(&format!("jobs/{id}"))?, json),
    }
}

/// Submits the jobs of a file one by one. Returns the last exit code other than success, if any.
fn submit(client: &Client, file: &Path, json: bool) -> eyre::Result<ExitCode> {
    let text =
        fs::read_to_string(file).wrap_err_with(|| format!("cannot read `{}`", file.display()))?;
    let mut code = ExitCode::SUCCESS;
    for (id, job) in settings::jobs(&file.display().to_string(), &text)? {
        let reply = client.submit(&serde_json::json!({ "id": id, "job": job }))?;
        let shown = show::reply(&reply, json)?;
        if shown != ExitCode::SUCCESS {
            code = shown;
        }
    }
    Ok(code)
}
