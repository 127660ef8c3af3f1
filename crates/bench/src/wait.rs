use super::*;

/// Longest wait for any condition.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds; `what` describes it in the error after a time-out.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> eyre::Result<()> {
    let started = Instant::now();
    while !condition() {
        ensure!(started.elapsed() < TIMEOUT, "timed out waiting until {what}");
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
