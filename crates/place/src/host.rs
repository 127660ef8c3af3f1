use super::*;

/// State of one worker: its description and the tasks placed on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Description by the platform.
    pub worker: Arc<Worker>,
    /// Ids of the jobs placed on it.
    pub tasks: BTreeSet<Name>,
    /// Sum of the resources reserved for them.
    pub reserved: Resources,
    /// Whether it may start tasks.
    pub health: Health,
    /// Whether it is lost: it sent no reports, or the platform reported it lost.
    pub lost: bool,
    /// Whether the platform has removed it. The record stays until its last task has ended.
    pub removed: bool,
    /// Jobs that failed on it since its last quarantine, or since a task last finished its work
    /// there.
    pub failures: BTreeSet<Name>,
}

impl Host {
    pub(crate) fn new(worker: Worker) -> Self {
        Self {
            worker: Arc::new(worker),
            tasks: BTreeSet::new(),
            reserved: Resources::default(),
            health: Health::Fine,
            lost: false,
            removed: false,
            failures: BTreeSet::new(),
        }
    }

    /// Resources that are not reserved.
    pub fn free(&self) -> Resources {
        self.worker.size.saturating_sub(self.reserved)
    }

    /// Records a failure of `job` at `now`. Returns whether the worker is quarantined for it.
    pub(crate) fn record_failure(&mut self, now: Time, job: &Name) -> bool {
        self.failures.insert(job.clone());
        let on_probation = matches!(self.health.at(now), Health::Probation { .. });
        if !on_probation && self.failures.len() < Health::MAX_FAILURES {
            return false;
        }
        self.health = self.health.escalate(now);
        true
    }

    /// Records a task that finished its work.
    pub(crate) fn record_success(&mut self) {
        self.failures.clear();
        self.health = Health::Fine;
    }
}
