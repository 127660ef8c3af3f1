use super::*;

/// A batch of notes from one daemon to another about one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parcel {
    /// The service.
    pub service: Name,
    /// Highest term of a broker of the service that the sender has seen.
    pub term: u64,
    /// Boot id of the sender.
    pub boot: u64,
    /// Notes in the order in which the receiver handles them.
    pub notes: Vec<Note>,
}
