//! Signals: the first asks for a graceful stop, the second ends the process at once.

use super::*;

/// Exit code of a process that was stopped at once.
const EXIT_CUT_OFF: i32 = 4;

pub(crate) fn start(events: Sender<Event>) -> eyre::Result<()> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    thread::spawn(move || {
        for (i, _) in signals.forever().enumerate() {
            if i > 0 {
                log::error!("stopped at once, requests in flight are cut off");
                std::process::exit(EXIT_CUT_OFF);
            }
            log::info!("stopping after the requests in flight");
            events.send(Event::Stop).ok();
        }
    });
    Ok(())
}
