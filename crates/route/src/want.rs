use super::*;

/// A request for a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Identifies the slot request.
    pub ticket: Ticket,
    /// Kind of the caller's request.
    pub kind: Name,
    /// Tenant of the caller.
    pub tenant: Name,
    /// Time left until the deadline of the caller's request.
    pub left: Duration,
    /// Where an earlier attempt failed.
    pub avoid: Option<Avoid>,
}
