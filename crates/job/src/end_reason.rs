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
    /// It never ran, or its instance is gone.
    Lost,
}
