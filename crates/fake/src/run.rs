use super::*;

/// Runs the simulators until the process receives SIGTERM or SIGINT.
pub fn run() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Upstreams(settings) => simulate(&settings, None),
        Command::Platform(settings) => simulate(&settings.upstreams, Some(&settings)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn simulate(
    settings: &UpstreamArguments,
    platform: Option<&PlatformArguments>,
) -> eyre::Result<()> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    let run_log = settings.record.as_deref().map(RunLog::open).transpose()?.map(Arc::new);
    let upstreams: Vec<_> = (0..settings.count)
        .map(|number| Upstream::start(settings, number, run_log.clone()))
        .collect::<eyre::Result<_>>()?;
    if let Some(platform) = platform {
        PlatformServer::start(platform, &upstreams)?;
    }
    signals.forever().next();
    for upstream in upstreams {
        upstream.leave();
    }
    Ok(())
}
