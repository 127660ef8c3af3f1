use super::*;

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The request, and which of its attempts.
    pub ticket: Ticket,
    /// Kind of the request.
    pub kind: Name,
    /// Tenant of the caller.
    pub tenant: Name,
    /// Time left until the deadline.
    pub left: Duration,
    /// Where a former attempt failed.
    pub avoid: Option<Avoid>,
}
