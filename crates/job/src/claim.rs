use super::*;

/// An attempt at a task, given to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// Who is to run it.
    pub incarnation: Incarnation,
}
