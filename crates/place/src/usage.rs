use super::*;

/// Usage report of one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Name of the worker.
    pub worker: Name,
    /// Time since the usage was measured.
    pub age: Duration,
    /// Usage of each task, by epoch of its placement.
    pub tasks: BTreeMap<Epoch, Resources>,
}
