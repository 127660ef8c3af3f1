use super::*;

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Its work is done.
    #[display("done")]
    Done,
    /// It failed.
    #[display("failed")]
    Failed,
    /// It was stopped, its work kept.
    #[display("checkpointed")]
    Checkpointed,
    /// It was stopped, its work lost.
    #[display("stopped")]
    Stopped,
    /// Its lease has run out unrenewed.
    #[display("lease over")]
    Lapsed,
}
