use super::*;

/// An operation on one instance, proposed by the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Name of the instance.
    pub instance: Name,
    /// Epoch that the step was made for; it has no effect in a later one.
    pub epoch: Epoch,
    /// What to do.
    pub action: Action,
    /// Fleet time of the proposal.
    pub at: Time,
}
