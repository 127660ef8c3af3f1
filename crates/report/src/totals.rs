use super::*;

/// Sums over the jobs of an organisation, a queue, a second or a size class.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Jobs that ended.
    pub jobs: u64,
    /// Of these, jobs that missed their objective.
    pub late: u64,
    /// Of these, jobs that ended after three times their objective, or failed.
    pub useless: u64,
    /// Milliseconds of lateness, by cause.
    pub lateness: ByCause,
    /// Late jobs by the cause that cost each most.
    pub causes: ByCause,
}

impl Totals {
    pub(crate) fn add(&mut self, job: &Job, late: Option<&LateJob>) {
        self.jobs += 1;
        self.useless += u64::from(job.is_useless());
        if let Some(late) = late {
            self.late += 1;
            self.lateness.add_all(&late.lateness_by_cause);
            self.causes.add(late.cause, 1);
        }
    }
}
