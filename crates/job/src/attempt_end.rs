use super::*;

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// How it ended.
    pub reason: EndReason,
    /// Last checkpoint, where there is one.
    pub checkpoint: Option<Arc<str>>,
}
