use super::*;

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// Why it ended.
    pub reason: EndReason,
    /// Last checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
}
