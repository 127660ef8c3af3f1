use super::*;

/// A call to the platform about one task. The platform refuses an epoch below the highest that it
/// has seen of the job, and a start of an epoch that it has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The job.
    pub job: Name,
    /// Epoch of its placement.
    pub epoch: Epoch,
    /// Where it is placed.
    pub worker: Name,
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
}
