use super::*;

/// The broker of the services of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Daemon that grants the slots.
    pub broker: Name,
    /// Boot id of that daemon.
    pub boot: u64,
    /// Increases whenever another daemon, or another start of it, becomes the broker.
    pub term: u64,
}
