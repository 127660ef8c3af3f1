use super::*;

/// Bounds that the platform sets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease that an instance grants.
    pub max_lease: Duration,
}

impl Default for Bounds {
    /// The shortest of those that the platform's deployments have.
    fn default() -> Self {
        Self { max_lease: Duration::from_secs(6) }
    }
}
