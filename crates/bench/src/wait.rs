use super::*;

/// Longest wait for any condition.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds; `what` names it where it never does.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> eyre::Result<()> {
    let started = Instant::now();
    while !condition() {
        ensure!(started.elapsed() < TIMEOUT, "gave up waiting until {what}");
        thread::sleep(POLL);
    }
    Ok(())
}
