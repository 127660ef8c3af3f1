use super::*;

/// One task of one round of a job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{job:016x}.{round}.{group}.{index}")]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Number of the round, 0 for a job that runs once.
    pub round: u32,
    /// Number of the group.
    pub group: u16,
    /// Number within the group.
    pub index: u16,
}

impl TaskId {
    /// The tasks among which it is.
    pub fn group_id(self) -> GroupId {
        let Self { job, round, group, .. } = self;
        GroupId { job, round, group }
    }
}
