use super::*;

/// Runs the tool once.
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
        Command::Apply { file, wait, base, request, author } => {
            let change = apply::Change { file, base: *base, request: request.as_deref(), author };
            apply::run(&client, &change, *wait, arguments.json)
        }
        Command::Get => show::reply(&client.config()?, arguments.json),
        Command::Status => show::reply(&client.status()?, arguments.json),
        Command::Keys(command) => keys::run(command),
    }
}
