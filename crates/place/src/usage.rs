use super::*;

/// What the tasks of a worker used a while ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The worker.
    pub worker: Name,
    /// Time since it was measured.
    pub age: Duration,
    /// Usage by epoch of the placement.
    pub tasks: BTreeMap<Epoch, Resources>,
}
