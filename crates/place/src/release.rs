use super::*;

/// A placement that is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Why.
    pub cause: Cause,
    /// Replicated time of the decision.
    pub at: Time,
}

impl Release {
    /// Time after a release at which the lease is over, whatever the platform does.
    pub const LEASE_OVER: Duration = LEASE.saturating_add(CALL_VALIDITY).saturating_add(DRIFT);

    /// Whether the lease of the task is over at `now`.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.at + Self::LEASE_OVER
    }
}
