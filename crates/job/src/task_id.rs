use super::*;

/// Id of a task: its position in a round of a job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{job:016x}.{round}.{group}.{index}")]
pub struct TaskId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the round; 0 for a job that does not recur.
    pub round: u32,
    /// Index of the group in the job.
    pub group: u16,
    /// Index of the task in the group.
    pub index: u16,
}

impl TaskId {
    /// Id of the group that the task belongs to.
    pub fn group_id(self) -> GroupId {
        let Self { job, round, group, .. } = self;
        GroupId { job, round, group }
    }
}
