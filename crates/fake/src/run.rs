use super::*;

/// Runs the stand-ins until the process is told to stop.
pub fn run() -> ExitCode {
    let played = match Arguments::parse().command {
        Command::Upstreams(settings) => play(&settings, None),
        Command::Platform(settings) => play(&settings.upstreams, Some(&settings)),
    };
    match played {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn play(settings: &Upstreams, platform: Option<&Platform>) -> eyre::Result<()> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    let record = settings.record.as_deref().map(Record::open).transpose()?.map(Arc::new);
    let runners: Vec<_> = (0..settings.count)
        .map(|number| Runner::start(settings, number, record.clone()))
        .collect::<eyre::Result<_>>()?;
    if let Some(platform) = platform {
        Instances::start(platform, &runners)?;
    }
    signals.forever().next();
    for runner in runners {
        runner.leave();
    }
    Ok(())
}
