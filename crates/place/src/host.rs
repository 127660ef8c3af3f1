use super::*;

/// State of one worker: its description and the tasks placed on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Description of the worker by the platform.
    pub worker: Arc<Worker>,
    /// Ids of the jobs whose tasks are placed on the worker.
    pub tasks: BTreeSet<Name>,
    /// Sum of the resources reserved for these tasks.
    pub reserved: Resources,
    /// Whether the worker may start tasks, judged by the tasks that failed on it.
    pub health: Health,
    /// Whether the worker is lost: it sent no reports, or the platform reported it lost.
    pub lost: bool,
    /// Whether the platform has removed the worker. Its record stays until its last task has ended.
    pub removed: bool,
    /// Jobs that failed on the worker since it was last quarantined or a task last finished its
    /// work there, whichever is later.
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

    /// Records a failure of `job` at `now`. Returns whether the worker is quarantined for it: on
    /// probation after one failure, otherwise after [`Health::MAX_FAILURES`] different jobs.
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
