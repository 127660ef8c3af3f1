//! Signal handling: the first signal starts a graceful stop, the second ends the process
//! immediately.

use super::*;

/// Exit code after an immediate stop, which leaves requests unanswered.
const EXIT_ABORTED: i32 = 4;

/// Maximum number of request ids in one log line.
const MAX_IDS: usize = 100;

/// Starts the signal thread; `in_flight_ids` returns the ids of the requests not yet answered.
pub(crate) fn start(
    events: Sender<Event>,
    in_flight_ids: impl Fn() -> Vec<String> + Send + 'static,
) -> eyre::Result<()> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    thread::spawn(move || {
        for (i, _) in signals.forever().enumerate() {
            if i > 0 {
                exit_now(in_flight_ids());
            }
            http::close_connections();
            log::info!("stopping after the requests in flight");
            events.send(Event::Stop).ok();
        }
    });
    Ok(())
}

fn exit_now(mut ids: Vec<String>) -> ! {
    let count = ids.len();
    ids.truncate(MAX_IDS);
    log::error!(count = count, requests = ids.join(" "); "stopped at once, requests are cut off");
    std::process::exit(EXIT_ABORTED);
}
