use super::*;

/// One task of one round of a job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{job:016x}.{round}.{group}.{index}")]
pub struct Task {
    /// The job.
    pub job: JobId,
    /// Number of the round, 0 for a job that runs once.
    pub round: u32,
    /// Number of the group.
    pub group: u16,
    /// Number within the group.
    pub index: u16,
}

impl Task {
    /// The tasks among which it is.
    pub fn cohort(self) -> Cohort {
        let Self { job, round, group, .. } = self;
        Cohort { job, round, group }
    }
}
