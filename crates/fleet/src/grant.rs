use super::*;

/// Permission to disrupt one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// What the disruption is for.
    pub purpose: Purpose,
    /// Current phase of the disruption.
    pub phase: Phase,
    /// Fleet time at which the grant was given.
    pub since: Time,
    /// Fleet time at which the current phase times out, `None` if it has no time limit.
    pub until: Option<Time>,
}
