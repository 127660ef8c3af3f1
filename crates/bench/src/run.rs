use super::*;

/// Runs the tool once.
pub fn run() -> ExitCode {
    match dispatch(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(arguments: &Arguments) -> eyre::Result<()> {
    match arguments.command {
        arguments::Action::List => list(),
        arguments::Action::Run { experiment: Experiment::FirstFleet } => first_fleet::run()?,
    }
    Ok(())
}

fn list() {
    for experiment in Experiment::value_variants() {
        if let Some(value) = experiment.to_possible_value() {
            let help = value.get_help().map(ToString::to_string).unwrap_or_default();
            println!("{:<16} {help}", value.get_name());
        }
    }
}
