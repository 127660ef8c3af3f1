use super::*;

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It finished its work.
    #[display("done")]
    Done,
    /// It failed.
    #[display("failed")]
    Failed,
    /// It was stopped after a checkpoint.
    #[display("checkpointed")]
    Checkpointed,
    /// It was stopped without a checkpoint.
    #[display("stopped")]
    Stopped,
    /// Its lease expired.
    #[display("lease over")]
    Lapsed,
}
