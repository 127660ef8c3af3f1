use super::*;

/// Notes of one daemon to another about one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parcel {
    /// The service.
    pub service: Name,
    /// Term of its broker.
    pub term: u64,
    /// Start of the daemon that sends.
    pub boot: u64,
    /// In order.
    pub notes: Vec<Note>,
}
