use super::*;

/// A slot that a daemon holds, as it reports to a new broker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Slot request for which it was granted.
    pub ticket: Ticket,
    /// Instance that the slot belongs to.
    pub instance: Name,
    /// Kind of the request.
    pub kind: Name,
    /// Time left until the deadline of the request.
    pub left: Duration,
}
