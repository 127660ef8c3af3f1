use super::*;

/// Assignment of an attempt to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// The instance that is to run it.
    pub incarnation: Incarnation,
}
