use super::*;

/// One of the slots that a request of a daemon asks for in turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// Number of the request at its daemon.
    pub request: RequestId,
    /// Slots that it asked for before.
    pub turn: u32,
}
