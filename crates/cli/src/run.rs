use super::*;

/// Runs the command given by the arguments of the process.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    match dispatch(&arguments) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let client = Client::new(&arguments.daemon, arguments.token_file.as_deref())?;
    match &arguments.command {
        Command::Apply { file, wait, base, signature } => {
            apply::run(&client, file, *base, signature, *wait, arguments.json)
        }
        Command::Get { revision } => show::reply(&client.config(*revision)?, arguments.json),
        Command::Diff { file } => edit::diff(&client, file, arguments.json),
        Command::Label { instance, labels, signature } => {
            edit::label(&client, instance, labels, signature, arguments.json)
        }
        Command::History => show::reply(&client.get("history")?, arguments.json),
        Command::Undo { revision, signature } => {
            edit::undo(&client, *revision, signature, arguments.json)
        }
        Command::Maintain(command) => maintain::run(&client, command, arguments.json),
        Command::Forget { instance, signature } => {
            maintain::forget(&client, instance, signature, arguments.json)
        }
        Command::Explain { kind, name } => {
            maintain::explain(&client, *kind, name.as_deref(), arguments.json)
        }
        Command::Status => show::reply(&client.status()?, arguments.json),
        Command::Member(member) => {
            show::reply(&client.change_member(&member.change())?, arguments.json)
        }
        Command::Job(command) => job::run(&client, command, arguments.json),
        Command::Keys(command) => keys::run(command),
    }
}
