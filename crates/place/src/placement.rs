use super::*;

/// A job on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("on `{worker}` since {} s, placement {epoch}", since.as_secs())]
pub struct Placement {
    /// The worker.
    pub worker: Name,
    /// Number of the placement.
    pub epoch: Epoch,
    /// What is held for the task.
    pub reserve: Resources,
    /// Replicated time of the placement.
    pub since: Time,
    /// Set once the task is to end.
    pub release: Option<Release>,
}
