use super::*;

/// A group of identical tasks of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task needs.
    pub size: Resources,
    /// Caller's rough estimate of the run time of a task.
    pub estimate: Duration,
    /// Indices of the groups that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints. Accepted and kept; no decision uses it: an attempt
    /// resumes from the last checkpoint that was reported, if any.
    pub has_checkpoints: bool,
    /// Gang scheduling: whether the tasks can only run all at the same time.
    pub gang: bool,
    /// Whether the tasks must run on a single rack, because traffic between racks slows them down.
    /// Ensured only among tasks that are placed at the same time.
    pub single_rack: bool,
    /// Label that an instance must have to run the tasks.
    pub requirement: Option<Name>,
    /// Rack that holds the input data.
    pub data_rack: Option<Name>,
    /// Maximum number of tasks of one round on the same instance.
    pub max_per_instance: Option<u16>,
    /// Whether the caller allows speculative execution, a second copy of a running task. Accepted
    /// and kept; no second copy is started.
    pub speculative_copies: bool,
    /// Whether the tasks run until the job is cancelled, as those of a server do. A task that ends
    /// earlier is started again, also if it failed.
    pub continuous: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: Option<Name>,
    /// Upper bound of the tail latency that the users of the tasks should see.
    pub latency_target: Option<Duration>,
    /// Whether the tasks are best-effort: they use only processor time that others leave idle.
    pub best_effort: bool,
    /// A continuous task is stopped for the maintenance of its machine only while fewer than this
    /// many other tasks of its group are unavailable.
    pub max_unavailable: Option<u16>,
}

impl Group {
    /// Whether the tasks occupy an instance for an indefinite time.
    pub fn is_long_lived(&self) -> bool {
        self.continuous || self.best_effort
    }

    /// Estimated work of one task, in millicore-milliseconds; 0 for continuous and best-effort
    /// tasks.
    pub fn work(&self) -> u64 {
        if self.continuous || self.best_effort {
            return 0;
        }
        self.size.millicores.saturating_mul(self.estimate.as_millis() as u64)
    }

    /// Number of the `largest` machines that it takes to start a task, or the whole gang; 0 if a task
    /// does not fit one.
    pub(crate) fn machines(&self, largest: Resources) -> u32 {
        if !self.reserved().fits(largest) {
            return 0;
        }
        let tasks_per_machine = largest.millicores / self.reserved().millicores.max(1);
        let tasks = if self.gang { u64::from(self.count) } else { 1 };
        tasks.div_ceil(tasks_per_machine.max(1)) as u32
    }

    /// Whether several tasks can only run at the same time.
    pub(crate) fn is_gang(&self) -> bool {
        self.gang && self.count > 1
    }

    /// What starts at the same time at least: one task, or all tasks of a gang.
    pub fn smallest_start(&self) -> Resources {
        let Resources { millicores, memory_mb, accelerators } = self.size;
        let tasks = if self.gang { u64::from(self.count) } else { 1 };
        Resources {
            millicores: millicores.saturating_mul(tasks),
            memory_mb: memory_mb.saturating_mul(tasks),
            accelerators: accelerators.saturating_mul(tasks),
        }
    }

    /// Whether an instance with these labels may run the tasks.
    pub fn accepts(&self, labels: &[Name]) -> bool {
        self.requirement.as_ref().is_none_or(|label| labels.contains(label))
    }

    /// Resources reserved for a task on its instance. Best-effort tasks reserve no processor time.
    pub fn reserved(&self) -> Resources {
        let millicores = if self.best_effort { 0 } else { self.size.millicores };
        Resources { millicores, ..self.size }
    }
}
