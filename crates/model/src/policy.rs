use super::*;

/// Settings for maintenance waves, and weights of idle instances, durations and moves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Number of canaries: instances of a wave that are maintained first, before all others.
    pub canary: u32,
    /// Number of failed instances at which a wave stops. A failed canary always stops it.
    pub max_failures: u32,
    /// Time within which an instance must complete its requests in flight.
    pub drain_timeout: Duration,
    /// Time within which an instance must announce itself again after a reboot.
    pub return_timeout: Duration,
    /// Soak time: how long an instance must serve after a reboot before it counts as available.
    pub soak: Duration,
    /// Period in which every instance is maintained once; zero disables the schedule.
    pub period: Duration,
    /// Weight of idle instances. Accepted and kept; no decision uses it.
    pub buffer_weight: u32,
    /// Weight of the duration of waves and changes. Accepted and kept; no decision uses it.
    pub rollout_weight: u32,
    /// Weight of moved instances. Accepted and kept; no decision uses it.
    pub moves_weight: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            canary: 1,
            max_failures: 2,
            drain_timeout: Duration::from_secs(60),
            return_timeout: Duration::from_secs(600),
            soak: Duration::from_secs(10),
            period: Duration::ZERO,
            buffer_weight: 1,
            rollout_weight: 1,
            moves_weight: 1,
        }
    }
}
