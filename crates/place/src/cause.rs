use super::*;

/// Why a task is released before it has finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The job was cancelled.
    #[display("cancelled")]
    Cancelled,
    /// An urgent job needs the room.
    #[display("preempted by urgent work")]
    Preempted,
    /// The tasks of its worker used more than the worker has.
    #[display("its worker was overfull")]
    Overfull,
    /// Its worker is lost.
    #[display("its worker was lost")]
    Lost,
    /// The platform did not confirm the start in time.
    #[display("its start was not confirmed")]
    Unconfirmed,
}
