use super::*;

/// Bounds that the platform sets; the defaults are those of the platform's example.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease that an instance grants.
    pub max_lease: Duration,
    /// How long an attempt may take to stop.
    pub stop: Duration,
    /// How long a lasting task may be interrupted before it counts as unavailable.
    pub notice: Duration,
    /// How long a machine is away for maintenance.
    pub maintenance: Duration,
    /// How long a machine is away for a move to another pool.
    pub migration: Duration,
    /// How much longer a task takes away from its data.
    pub remote_permille: u32,
    /// How early a round may start.
    pub early: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_lease: Duration::from_secs(6),
            stop: Duration::from_millis(400),
            notice: Duration::from_millis(4500),
            maintenance: Duration::from_secs(2),
            migration: Duration::from_millis(1500),
            remote_permille: 3000,
            early: Duration::from_millis(250),
        }
    }
}
