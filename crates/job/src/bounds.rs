use super::*;

/// Limits set by the platform, and times set by the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease that an instance accepts.
    pub max_lease: Duration,
    /// How long after the last order about a machine a later leader must not send one.
    pub order_turn: Duration,
    /// How long an idle machine stays in its pool before it goes to the spare pool.
    pub parking_idle_time: Duration,
    /// Machine orders that the platform accepts in a second, from all daemons together.
    pub machine_orders_per_second: u32,
}

impl Default for Bounds {
    /// The shortest lease limit among the known deployments of the platform, which is safe for all.
    fn default() -> Self {
        Self {
            max_lease: Duration::from_secs(6),
            order_turn: Duration::from_secs(3),
            parking_idle_time: Duration::from_millis(1200),
            machine_orders_per_second: 64,
        }
    }
}
