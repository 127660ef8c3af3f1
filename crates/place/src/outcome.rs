use super::*;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It finished its work.
    #[display("done")]
    Done,
    /// It was cancelled.
    #[display("cancelled")]
    Cancelled,
}
