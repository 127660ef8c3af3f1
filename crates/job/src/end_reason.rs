use super::*;

/// Why an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub enum EndReason {
    /// The task finished successfully.
    Done,
    /// The attempt failed, because of the task or of the instance.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// The lease of the instance expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The rest of its gang did not start in time.
    Alone,
    /// It never ran, or its instance was taken away or fell silent.
    Lost,
    /// Its instance crashed soon after it had started.
    #[display("crashed")]
    Crashed {
        /// Whether no attempt of another job ran there.
        alone: bool,
    },
    /// Its instance crashed, and it may have run there, or had run for long.
    Vanished,
}

impl EndReason {
    /// Whether the attempt may never have run.
    pub(crate) fn may_not_have_run(self) -> bool {
        matches!(self, Self::Lost | Self::Vanished)
    }
}
