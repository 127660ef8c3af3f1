use super::*;

/// Decision to stop a placed task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Why the task is released.
    pub cause: Cause,
    /// Replicated time of the decision.
    pub at: Time,
}

impl Release {
    /// Time after a release at which the lease has expired in any case: a call made just before
    /// the release may still start or renew the task, and clocks may drift.
    pub const LEASE_EXPIRY_DELAY: Duration =
        LEASE.saturating_add(CALL_VALIDITY).saturating_add(MAX_CLOCK_DRIFT);

    /// Whether the lease of the task has expired at `now`.
    pub fn is_lease_expired(&self, now: Time) -> bool {
        now >= self.at + Self::LEASE_EXPIRY_DELAY
    }
}
