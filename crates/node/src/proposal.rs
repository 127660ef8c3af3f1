use super::*;

/// A command with the daemon that proposed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Daemon that proposed it.
    pub origin: Name,
    /// Start of that daemon.
    pub boot: u64,
    /// Number at that daemon since it started.
    pub sequence: u64,
    /// What is proposed.
    pub command: Command,
}
