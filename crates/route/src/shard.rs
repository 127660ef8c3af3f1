use super::*;

/// The daemon that grants the slots of some services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The daemon.
    pub broker: Name,
    /// Its start.
    pub boot: u64,
    /// Grows whenever another daemon, or another start, takes over.
    pub term: u64,
}
