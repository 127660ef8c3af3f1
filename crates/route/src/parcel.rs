use super::*;

/// A batch of notes from one daemon to another about one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parcel {
    /// The service.
    pub service: Name,
    /// Term of its broker as the sender knows it.
    pub term: u64,
    /// Boot id of the sender.
    pub boot: u64,
    /// Notes in the order in which they are to be handled.
    pub notes: Vec<Note>,
}
