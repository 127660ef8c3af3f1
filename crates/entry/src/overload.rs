//! Decides when this daemon is too busy to take new jobs. It measures how long calls wait in its
//! own queues. Refusing a job before it is proposed costs little, so the queue shortens at once,
//! and callers learn soon that they must come back.

use super::*;

/// Load of the daemon, as seen by the call that is being handled.
#[derive(Debug, Default)]
pub(crate) struct Overload {
    waited: Duration,
}

impl Overload {
    /// A job that has waited for this long is refused. A caller notices the wait, and a leader that
    /// is this late plans and renews late as well.
    const MAX_WAIT: Duration = Duration::from_millis(300);
    /// After how long callers are told to return, beyond the time that their job waited.
    const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Whether an event has waited for so long that a job would be refused.
    pub(crate) fn is_too_long(waited: Duration) -> bool {
        waited > Self::MAX_WAIT
    }

    /// Records for how long the event that is handled next has waited.
    pub(crate) fn record(&mut self, waited: Duration) {
        self.waited = waited;
    }

    /// When the caller of the job that is being handled should return, if the job is refused.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        Self::is_too_long(self.waited).then(|| Self::RETRY_AFTER + self.waited)
    }
}
