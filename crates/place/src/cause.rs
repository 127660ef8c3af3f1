use super::*;

/// Why a task is to end before its work is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Its job was cancelled.
    #[display("cancelled")]
    Cancelled,
    /// Urgent work needs its place.
    #[display("preempted by urgent work")]
    Preempted,
    /// Its worker uses more than it has.
    #[display("its worker was overfull")]
    Overfull,
    /// Its worker does not answer.
    #[display("its worker was lost")]
    Lost,
    /// The platform did not confirm the start.
    #[display("its start was not confirmed")]
    Unconfirmed,
}
