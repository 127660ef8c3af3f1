use super::*;

/// Runs the command that the arguments of the process name.
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
        Command::Apply { file, wait, base, options } => {
            apply::run(&client, file, *base, options, *wait, arguments.json)
        }
        Command::Get { revision } => show::reply(&client.config(*revision)?, arguments.json),
        Command::Diff { file } => edit::diff(&client, file, arguments.json),
        Command::Label { instance, labels, options } => {
            edit::label(&client, instance, labels, options, arguments.json)
        }
        Command::History => show::reply(&client.get("history")?, arguments.json),
        Command::Undo { revision, options } => {
            edit::undo(&client, *revision, options, arguments.json)
        }
        Command::Maintain(command) => maintain::run(&client, command, arguments.json),
        Command::Forget { instance, options } => {
            maintain::forget(&client, instance, options, arguments.json)
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
        Command::Report { logs, svg } => report::run(logs, svg.as_deref(), arguments.json),
    }
}
