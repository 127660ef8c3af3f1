/// Timers of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Timer {
    /// Agreement.
    Quorum(quorum::Timer),
    /// Orders, leases and calls that wait.
    Tick,
    /// Peers, founding and membership.
    Beat,
    /// The data folder failed, and is to be tried again.
    Disk,
    /// The daemon has refused new callers for long enough to stop.
    Grace,
}
