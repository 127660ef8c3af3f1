use super::*;

/// Phase of a job that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It waits to be placed.
    Waiting,
    /// It can never run, as no worker meets its requirements.
    Never,
    /// It is placed on a worker.
    Placed(Placement),
}
