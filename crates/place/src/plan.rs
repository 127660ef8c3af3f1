use super::*;

/// Decisions of a leader, each judged by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Term of the leader.
    pub term: Term,
    /// Replicated time at which it was made.
    pub at: Time,
    /// The decisions, in order.
    pub steps: Vec<Step>,
}
