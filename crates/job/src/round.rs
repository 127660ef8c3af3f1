use super::*;

/// State of the tasks of one round of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// Task states by group and index.
    pub(crate) groups: Vec<Vec<TaskState>>,
    /// Number of tasks that are not done, by group.
    pub(crate) open: Vec<u16>,
    /// Number of tasks that wait to be started, by group.
    pub(crate) waiting: Vec<u16>,
}

impl Round {
    pub(crate) fn new(spec: &Spec) -> Self {
        let counts: Vec<_> = spec.groups.iter().map(|group| group.count).collect();
        let task_states = |count: &u16| vec![TaskState::default(); usize::from(*count)];
        Self {
            groups: counts.iter().map(task_states).collect(),
            open: counts.clone(),
            waiting: counts,
        }
    }

    /// Estimated memory of a round of a job, in bytes: a claimed task also takes the name of its
    /// instance.
    pub(crate) fn footprint(spec: &Spec) -> usize {
        const NAME_BYTES: usize = 48;
        const GROUP_BYTES: usize = size_of::<Vec<TaskState>>() + 2 * size_of::<u16>();
        let tasks: usize = spec.groups.iter().map(|group| usize::from(group.count)).sum();
        tasks * (size_of::<TaskState>() + NAME_BYTES) + spec.groups.len() * GROUP_BYTES
    }

    /// Whether every task waits and every attempt so far was lost.
    pub(crate) fn is_untouched(&self) -> bool {
        let untouched =
            |task_state: &TaskState| task_state.phase == Phase::Waiting && !task_state.ended;
        self.groups.iter().flatten().all(untouched)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.open.iter().all(|open| *open == 0)
    }

    /// Whether a task waits to be started.
    pub(crate) fn has_waiting_tasks(&self) -> bool {
        self.waiting.iter().any(|waiting| *waiting > 0)
    }

    /// Whether every group that `group` depends on is done.
    pub(crate) fn dependencies_done(&self, group: &Group) -> bool {
        group.after.iter().all(|after| self.open[usize::from(*after)] == 0)
    }

    /// Whether every task that `group` depends on has been started.
    pub(crate) fn dependencies_started(&self, group: &Group) -> bool {
        group.after.iter().all(|after| self.waiting[usize::from(*after)] == 0)
    }

    /// Work of the tasks that are ready to start, in millicore-milliseconds. A continuous task
    /// counts as one second of work, and a task too large for the `largest` machine as none.
    pub(crate) fn ready_work(&self, spec: &Spec, largest: Resources) -> u64 {
        let groups = spec.groups.iter().zip(&self.waiting);
        let groups = groups.filter(|(group, waiting)| {
            **waiting > 0 && group.reserved().fits(largest) && self.dependencies_done(group)
        });
        let work = |(group, waiting): (&Group, &u16)| {
            let continuous = if group.continuous && !group.best_effort {
                group.size.millicores * 1000
            } else {
                0
            };
            group.work().saturating_add(continuous).saturating_mul(u64::from(*waiting))
        };
        groups.map(work).fold(0, u64::saturating_add)
    }

    /// Minimum number of machines that continuous tasks must be spread over.
    pub(crate) fn min_machines(&self, spec: &Spec) -> Option<u32> {
        let groups = spec.groups.iter().zip(&self.open);
        let groups = groups.filter(|(group, _)| group.continuous && self.dependencies_done(group));
        let machines = groups.filter_map(|(group, open)| {
            let max_per_instance = u32::from(group.max_per_instance?.max(1));
            Some(u32::from(*open).div_ceil(max_per_instance))
        });
        machines.max()
    }

    pub(crate) fn task_state(&self, group: u16, index: u16) -> Option<&TaskState> {
        self.groups.get(usize::from(group))?.get(usize::from(index))
    }

    /// Moves a task to another phase and updates the counters.
    pub(crate) fn set_phase(&mut self, group: u16, index: u16, phase: Phase) {
        let (group, index) = (usize::from(group), usize::from(index));
        let task_state = &mut self.groups[group][index];
        self.waiting[group] -= u16::from(task_state.phase == Phase::Waiting);
        self.waiting[group] += u16::from(phase == Phase::Waiting);
        self.open[group] -= u16::from(phase == Phase::Done && task_state.phase != Phase::Done);
        task_state.phase = phase;
    }
}
