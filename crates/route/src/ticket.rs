use super::*;

/// Identifies a slot request of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// Number of the caller's request at its daemon.
    pub request: RequestId,
    /// Number of slots that the request has used or returned before.
    pub turn: u32,
}
