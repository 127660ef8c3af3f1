use super::*;

/// Timers of a daemon, by component.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize,
)]
pub enum Timer {
    /// Consensus.
    Quorum(quorum::Timer),
    /// Request routing.
    Route(route::Timer),
    /// Periodic checks of leases and proposals.
    Beat,
    /// End of the grace period of a graceful stop. Until then the health check fails, but requests
    /// are still accepted.
    Grace,
}
