use super::*;

/// Timers of every area.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize,
)]
pub enum Timer {
    /// Agreement.
    Quorum(quorum::Timer),
    /// Requests.
    Route(route::Timer),
    /// Proposals are due to be repeated, leases to be looked at.
    Beat,
    /// The daemon has failed its health check for long enough to stop.
    Grace,
}
