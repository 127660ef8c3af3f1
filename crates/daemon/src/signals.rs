//! Signals: the first asks for a graceful stop, the second ends the process at once.

use super::*;

/// Exit code of a process that was stopped at once.
const EXIT_CUT_OFF: i32 = 4;

/// Ids that one log line names.
const MAX_IDS: usize = 100;

/// Starts the thread; `in_flight` gives the ids of the requests that have no answer yet.
pub(crate) fn start(
    events: Sender<Event>,
    in_flight: impl Fn() -> Vec<String> + Send + 'static,
) -> eyre::Result<()> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    thread::spawn(move || {
        for (i, _) in signals.forever().enumerate() {
            if i > 0 {
                cut_off(in_flight());
            }
            log::info!("stopping after the requests in flight");
            events.send(Event::Stop).ok();
        }
    });
    Ok(())
}

fn cut_off(mut ids: Vec<String>) -> ! {
    let count = ids.len();
    ids.truncate(MAX_IDS);
    log::error!(count = count, requests = ids.join(" "); "stopped at once, requests are cut off");
    std::process::exit(EXIT_CUT_OFF);
}
