//! Decides when this daemon is too busy to take new jobs, and how far it is behind with what
//! instances report. It measures how long events wait in its own queues. Refusing a job before it is
//! proposed costs little, so the queue shortens at once, and callers learn soon that they must come
//! back.

use super::*;

/// Load of the daemon, as seen by the event that is being handled.
#[derive(Debug, Default)]
pub(crate) struct Overload {
    waited: Duration,
    /// Moving average of the time that events of instances wait.
    lag: Duration,
}

impl Overload {
    /// A job that has waited for this long is refused. A caller notices the wait, and a leader that
    /// is this late plans and renews late as well.
    const MAX_WAIT: Duration = Duration::from_millis(300);
    /// A wait for which a job is refused.
    pub(crate) const TOO_LONG: Duration = Duration::from_millis(301);
    /// While events of instances wait for longer than this, all jobs are refused. Each group of a
    /// job waits twice, for its start and for its end, and jobs of two groups would use up the time
    /// that the objective leaves them.
    const MAX_LAG: Duration = Duration::from_millis(150);
    /// After how long callers are told to return, beyond the time that their job waited.
    const RETRY_AFTER: Duration = Duration::from_secs(1);
    /// Weight of the latest value in the moving average, as a divisor.
    const LAG_WEIGHT_DIVISOR: u32 = 16;

    /// Whether an event has waited for so long that a job would be refused.
    pub(crate) fn is_too_long(waited: Duration) -> bool {
        waited > Self::MAX_WAIT
    }

    /// Whether all jobs are refused while events of instances wait for this long.
    pub(crate) fn is_behind(lag: Duration) -> bool {
        lag > Self::MAX_LAG
    }

    /// Records for how long the event that is handled next has waited, and for how long the first
    /// event of instances.
    pub(crate) fn record(&mut self, waited: Duration, lag: Duration) {
        self.waited = waited;
        let divisor = Self::LAG_WEIGHT_DIVISOR;
        self.lag = self.lag * (divisor - 1) / divisor + lag / divisor;
    }

    /// For how long events of instances wait at present.
    pub(crate) fn lag(&self) -> Duration {
        self.lag
    }

    /// When the caller of the job that is being handled should return, if the job is refused.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        let refuses = Self::is_too_long(self.waited) || Self::is_behind(self.lag);
        refuses.then(|| Self::RETRY_AFTER + self.waited.max(self.lag))
    }
}
