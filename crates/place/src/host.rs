use super::*;

/// A worker with what runs on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The worker.
    pub worker: Arc<Worker>,
    /// Jobs placed on it.
    pub tasks: BTreeSet<Name>,
    /// Sum of what is held for them.
    pub reserved: Resources,
    /// Whether it may run tasks.
    pub health: Health,
    /// Whether it does not answer.
    pub lost: bool,
    /// Whether the platform no longer has it.
    pub removed: bool,
    /// Jobs that failed on it since one ended well.
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

    /// What it has left.
    pub fn free(&self) -> Resources {
        self.worker.size.saturating_sub(self.reserved)
    }

    /// Counts a failure of `job` at `now`; whether the worker is quarantined for it.
    pub(crate) fn fail(&mut self, now: Time, job: &Name) -> bool {
        self.failures.insert(job.clone());
        let on_probation = matches!(self.health.at(now), Health::Probation { .. });
        if !on_probation && self.failures.len() < Health::MAX_FAILURES {
            return false;
        }
        self.health = self.health.worse(now);
        true
    }

    /// Counts a task that ended well.
    pub(crate) fn succeed(&mut self) {
        self.failures.clear();
        self.health = Health::Fine;
    }
}
