use super::*;

/// How the fleet is maintained and how spare instances are used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Instances of a wave that are maintained alone, before all others.
    pub canary: u32,
    /// Returned instances that may fail before a wave stops.
    pub max_failures: u32,
    /// Time within which an instance must finish its work in flight.
    pub drain_timeout: Duration,
    /// Time within which a rebooted instance must announce itself again.
    pub return_timeout: Duration,
    /// Time for which a returned instance must stay before it counts as available.
    pub soak: Duration,
    /// Time within which every instance is maintained once; zero for no schedule.
    pub period: Duration,
    /// Weight of idle instances.
    pub buffer_weight: u32,
    /// Weight of the duration of waves and changes.
    pub rollout_weight: u32,
    /// Weight of moved instances.
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
