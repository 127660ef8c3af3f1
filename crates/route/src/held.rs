use super::*;

/// A slot that a daemon holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Who holds it.
    pub ticket: Ticket,
    /// Instance with the slot.
    pub instance: Name,
    /// Kind of the request.
    pub kind: Name,
    /// Time left until the deadline.
    pub left: Duration,
}
