use super::*;

/// Runs the experiment named on the command line, or lists all experiments.
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
    match &arguments.command {
        arguments::Action::List => list(),
        arguments::Action::Run(experiment) => experiment.run()?,
    }
    Ok(())
}

impl Experiment {
    fn run(&self) -> eyre::Result<()> {
        match self {
            Self::Agreement => agreement::run(),
            Self::FirstFleet => first_fleet::run(),
            Self::LeaderKills { kills } => leader_kills::run(*kills),
            Self::Dispatch { seeds, delay_us } => {
                dispatch::run(seeds, Duration::from_micros(*delay_us))
            }
            Self::RouteThroughput { seed } => {
                route_throughput::run(*seed);
                Ok(())
            }
            Self::Load(load) => load.run(),
            Self::Chaos(chaos) => print_findings(&chaos.run()?),
            Self::Changes(settings) => changes::run(settings),
            Self::Waves(settings) => waves::run(settings),
            Self::Placement { seed } => placement::run(*seed),
            Self::Idle { daemons, upstreams, seconds } => idle::run(*daemons, *upstreams, *seconds),
        }
    }
}

/// Prints the findings as JSON. Fails if they show that a guarantee was violated.
fn print_findings(findings: &Findings) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(findings)?);
    ensure!(findings.violations() == 0, "a guarantee was violated, see the figures");
    Ok(())
}

fn list() {
    let command = Experiment::augment_subcommands(clap::Command::new("run"));
    for experiment in command.get_subcommands() {
        let about = experiment.get_about().map(ToString::to_string).unwrap_or_default();
        println!("{:<16} {about}", experiment.get_name());
    }
}
