use super::*;

/// Id of a task group in one round of a job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{job:016x}.{round}.{group}")]
pub struct GroupId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the round; 0 for a job that does not recur.
    pub round: u32,
    /// Index of the group in the job.
    pub group: u16,
}
