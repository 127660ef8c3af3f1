use super::*;

/// Steps that a leader proposes together. Each is checked, and refused or applied, on its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Term of the leader.
    pub term: Term,
    /// Time of the plan on the leader's clock; applying it advances replicated time to it.
    pub at: Time,
    /// The steps, in the order in which they are applied.
    pub steps: Vec<Step>,
}
