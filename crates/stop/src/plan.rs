use super::*;

/// Plan of a stop: what the daemon does at a time after the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// When the process was asked to stop.
    pub asked_at: Time,
    limits: Limits,
}

/// Part of the grace period for sending the answers to the last calls, at most.
const ANSWER_RESERVE: Duration = Duration::from_secs(1);

/// Part of the grace period for ending the process, at most.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

impl Plan {
    /// Plan of a stop that was asked for at `asked_at`.
    pub fn new(asked_at: Time, limits: Limits) -> Self {
        Self { asked_at, limits }
    }

    /// Phase at the time `now`.
    pub fn phase(&self, now: Time) -> Phase {
        match now {
            _ if self.end().is_some_and(|end| now >= end) => Phase::Over,
            _ if now >= self.drains_at() => Phase::Draining,
            _ => Phase::Serving,
        }
    }

    /// When the daemon begins to drain; half of the grace period is left for that.
    pub fn drains_at(&self) -> Time {
        let half = self.limits.grace.map(|grace| grace / 2);
        self.asked_at + half.unwrap_or(Duration::MAX).min(self.limits.serving)
    }

    /// Deadline of all calls; `None` if the process is not killed.
    pub fn call_deadline(&self) -> Option<Time> {
        let grace = self.limits.grace?;
        Some(self.asked_at + grace - ANSWER_RESERVE.min(grace / 3))
    }

    /// When the process ends at the latest; `None` if it waits for all answers.
    pub fn end(&self) -> Option<Time> {
        let grace = self.limits.grace?;
        Some(self.asked_at + grace - EXIT_RESERVE.min(grace / 10))
    }

    /// The time `until`, or the deadline of all calls if that is earlier.
    pub fn bound(&self, until: Time) -> Time {
        self.call_deadline().map_or(until, |deadline| until.min(deadline))
    }

    /// Whether the process may end while `unanswered` requests have been read and not answered.
    pub fn may_end(&self, now: Time, unanswered: usize) -> bool {
        match self.phase(now) {
            Phase::Serving => false,
            Phase::Draining => unanswered == 0 && now >= self.drains_at() + self.limits.draining,
            Phase::Over => true,
        }
    }
}
