use super::*;

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub number: Number,
    /// How it ended.
    pub how: How,
    /// Last checkpoint, where there is one.
    pub checkpoint: Option<Arc<str>>,
}
