use super::*;

/// Phase of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Waits to be started.
    #[default]
    Waiting,
    /// An attempt was assigned to an instance and has no end yet.
    Claimed(Incarnation),
    /// Finished successfully.
    Done,
}
