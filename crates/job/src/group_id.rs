use super::*;

/// The tasks of one group in one round of a job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{job:016x}.{round}.{group}")]
pub struct GroupId {
    /// The job.
    pub job: JobId,
    /// Number of the round, 0 for a job that runs once.
    pub round: u32,
    /// Number of the group.
    pub group: u16,
}
