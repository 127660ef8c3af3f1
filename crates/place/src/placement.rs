use super::*;

/// Placement of a job on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("on `{worker}` since {} s, placement {epoch}", since.as_secs())]
pub struct Placement {
    /// Name of the worker.
    pub worker: Name,
    /// Fencing number of the placement.
    pub epoch: Epoch,
    /// Resources reserved for the task.
    pub reserve: Resources,
    /// Replicated time of the placement.
    pub since: Time,
    /// Set once the task is to be stopped.
    pub release: Option<Release>,
}
