use super::*;

/// The state of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// Where it stands.
    pub phase: Phase,
    /// Number of its last attempt, 0 before the first.
    pub number: AttemptNumber,
    /// Attempts that failed.
    pub failed: u32,
    /// Whether an attempt has ended otherwise than lost, so that the task has run for certain.
    pub ended: bool,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
}
