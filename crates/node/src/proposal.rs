use super::*;

/// A command, identified by the daemon that proposed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Daemon that proposed it.
    pub origin: Name,
    /// Identifies the start of that daemon.
    pub boot: u64,
    /// Sequence number since that start.
    pub sequence: u64,
    /// The command.
    pub command: Command,
}
