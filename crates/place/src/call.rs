use super::*;

/// A call to the platform about one task. The platform refuses an epoch below the highest that it
/// has seen of the job, and does not start an epoch again that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Id of the job.
    pub job: Name,
    /// Epoch of the placement.
    pub epoch: Epoch,
    /// Worker that the job is placed on.
    pub worker: Name,
    /// What the platform is asked to do.
    #[serde(flatten)]
    pub action: Action,
}
