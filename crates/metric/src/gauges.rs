/// Current values of the gauges of a daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests that were received and whose answers have not been sent.
    pub in_flight: u64,
    /// Requests without a final answer.
    pub pending: u64,
    /// Whether the daemon has a view: it knows that its configuration is current and may act on it.
    pub view: bool,
    /// Whether the daemon is the leader.
    pub leader: bool,
    /// Revision of its configuration.
    pub revision: u64,
    /// Index of the last log entry that it has applied.
    pub log_applied: u64,
    /// Index of the last log entry in force on every daemon: no daemon acts without having applied
    /// it.
    pub log_forced: u64,
    /// Number of threads of the process.
    pub threads: u64,
}
