/// The present state of a daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests that were taken and whose answers have not gone out.
    pub in_flight: u64,
    /// Requests without a final answer.
    pub pending: u64,
    /// Whether the daemon may act on its configuration.
    pub view: bool,
    /// Whether the daemon leads.
    pub leader: bool,
    /// Number of its configuration.
    pub revision: u64,
    /// Highest log position that it has applied.
    pub log_applied: u64,
    /// Highest log position in force on every daemon.
    pub log_forced: u64,
    /// Threads of the process.
    pub threads: u64,
}
