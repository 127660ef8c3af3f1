use super::*;

/// State of a job that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The job as submitted.
    pub job: Arc<Job>,
    /// Answer to its submission.
    pub verdict: Verdict,
    /// Replicated time of its submission.
    pub submitted: Time,
    /// Its current phase.
    pub phase: Phase,
    /// Epoch of its latest placement, 0 if it was never placed.
    pub epoch: Epoch,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Workers on which it failed. A worker is removed from the set when it is quarantined, as the
    /// failure then counts against the worker.
    pub failed_on: BTreeSet<Name>,
    /// Replicated time until which it is not placed, as a back-off after failures.
    pub not_before: Time,
    /// A worker that could run the job if it were empty; `None` if there is no such worker.
    pub feasible_worker: Option<Name>,
}

impl Entry {
    /// Back-off after the first failure; it doubles with each further worker that the job fails on.
    const FIRST_BACK_OFF: Duration = Duration::from_secs(5);
    /// Maximum back-off.
    const MAX_BACK_OFF: Duration = Duration::from_secs(600);
    /// Number of doublings that reach the maximum back-off.
    const MAX_DOUBLINGS: u32 = 7;

    /// The current placement, if the job is placed.
    pub fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            Phase::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    /// Records a failure on `worker`, and backs off.
    pub(crate) fn record_failure(&mut self, now: Time, worker: &Name) {
        self.failed_on.insert(worker.clone());
        let doublings = (self.failed_on.len() as u32 - 1).min(Self::MAX_DOUBLINGS);
        let wait = (Self::FIRST_BACK_OFF * (1 << doublings)).min(Self::MAX_BACK_OFF);
        self.not_before = now + wait;
    }

    /// Removes a failure that is attributed to `worker` instead of the job. If no other is left,
    /// the back-off ends.
    pub(crate) fn remove_failure(&mut self, worker: &Name) {
        if self.failed_on.remove(worker) && self.failed_on.is_empty() {
            self.not_before = Time::ZERO;
        }
    }
}
