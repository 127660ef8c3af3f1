use super::*;

/// Where a job stands, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub enum JobState {
    /// No task was started.
    Queued,
    /// Some task was started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether nothing of the job is to run any more.
    pub fn is_terminal(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}
