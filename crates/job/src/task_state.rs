use super::*;

/// State of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// Current phase.
    pub phase: Phase,
    /// Number of the last attempt; 0 before the first one.
    pub number: AttemptNumber,
    /// Number of failed attempts.
    pub failed: u32,
    /// Crashes of instances that ran it.
    pub crashes: Crashes,
    /// Whether an attempt ended other than by being lost, which proves that the task has run.
    pub ended: bool,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
}
