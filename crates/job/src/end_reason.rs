use super::*;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub enum EndReason {
    /// The task is done.
    Done,
    /// The attempt failed, through its own fault or the instance's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the rest of its gang.
    Alone,
    /// It never ran, or the instance that ran it is gone.
    Lost,
}
