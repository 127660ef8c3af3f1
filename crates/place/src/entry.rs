use super::*;

/// A job that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The job as submitted.
    pub job: Arc<Job>,
    /// Answer to its submission.
    pub verdict: Verdict,
    /// Replicated time of its submission.
    pub submitted: Time,
    /// Where it stands.
    pub phase: Phase,
    /// Epoch of its last placement, 0 where there was none.
    pub epoch: Epoch,
    /// Whether it is no longer wanted.
    pub cancelled: bool,
    /// Workers on which it failed since its last back-off was forgiven.
    pub failed_on: BTreeSet<Name>,
    /// Time before which it is not placed.
    pub not_before: Time,
    /// A worker that could run it, if it were empty.
    pub witness: Option<Name>,
}

impl Entry {
    /// Wait after the first failure; it doubles with each further worker.
    const BACK_OFF: Duration = Duration::from_secs(5);
    /// Longest wait after a failure.
    const MAX_BACK_OFF: Duration = Duration::from_secs(600);
    /// Doublings that reach the longest wait.
    const MAX_DOUBLINGS: u32 = 7;

    /// The placement, where there is one.
    pub fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            Phase::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    /// Counts a failure on `worker`, and backs off.
    pub(crate) fn fail(&mut self, now: Time, worker: &Name) {
        self.failed_on.insert(worker.clone());
        let doublings = (self.failed_on.len() as u32 - 1).min(Self::MAX_DOUBLINGS);
        let wait = (Self::BACK_OFF * (1 << doublings)).min(Self::MAX_BACK_OFF);
        self.not_before = now + wait;
    }

    /// Takes back a failure that is put down to `worker`.
    pub(crate) fn forgive(&mut self, worker: &Name) {
        if self.failed_on.remove(worker) && self.failed_on.is_empty() {
            self.not_before = Time::ZERO;
        }
    }
}
