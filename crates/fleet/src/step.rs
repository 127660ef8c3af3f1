use super::*;

/// A step with one instance, proposed by the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The instance.
    pub instance: Name,
    /// Epoch that the step was made for; it does nothing in a later one.
    pub epoch: Epoch,
    /// What is wanted.
    pub action: Action,
    /// Fleet time of the proposal.
    pub at: Time,
}
