/// Timers of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Timer {
    /// Timer of the consensus protocol.
    Quorum(quorum::Timer),
    /// Check of requests to instances, leases and pending calls.
    Tick,
    /// Check of peers, founding and membership.
    Beat,
    /// The data folder is to be opened again.
    Disk,
    /// The daemon was asked to stop, and is to drain.
    Drain,
}
