use super::*;

/// State of a job as shown to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub enum JobState {
    /// No task has been started.
    Queued,
    /// At least one task has been started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobState {
    /// Whether the job has ended, so that none of its tasks should run any more.
    pub fn is_terminal(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}
