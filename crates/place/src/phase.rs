use super::*;

/// Phase of a job that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It waits to be placed.
    Waiting,
    /// It cannot run on any current worker, or under its team's quota. It waits again once a change
    /// of workers or quotas allows it to run.
    Never,
    /// It is placed on a worker.
    Placed(Placement),
}
