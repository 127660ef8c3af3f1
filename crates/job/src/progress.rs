use super::*;

/// The tasks of one round of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// Slots by group and index.
    pub(crate) groups: Vec<Vec<Slot>>,
    /// Tasks of each group that are not done.
    pub(crate) open: Vec<u16>,
    /// Tasks of each group that wait.
    pub(crate) waiting: Vec<u16>,
}

impl Round {
    pub(crate) fn new(spec: &Spec) -> Self {
        let counts: Vec<_> = spec.groups.iter().map(|group| group.count).collect();
        let slots = |count: &u16| vec![Slot::default(); usize::from(*count)];
        Self { groups: counts.iter().map(slots).collect(), open: counts.clone(), waiting: counts }
    }

    /// Whether no task is done, nor has ended otherwise than lost.
    pub(crate) fn is_untouched(&self) -> bool {
        let untouched = |slot: &Slot| slot.phase == Phase::Waiting && !slot.ended;
        self.groups.iter().flatten().all(untouched)
    }

    /// Whether every task is done.
    pub(crate) fn is_done(&self) -> bool {
        self.open.iter().all(|open| *open == 0)
    }

    /// Whether everything that `group` comes after is done.
    pub(crate) fn is_unblocked(&self, group: &Group) -> bool {
        group.after.iter().all(|after| self.open[usize::from(*after)] == 0)
    }

    /// Whether every task of what `group` comes after has begun at least.
    pub(crate) fn is_nearly_unblocked(&self, group: &Group) -> bool {
        group.after.iter().all(|after| self.waiting[usize::from(*after)] == 0)
    }

    /// Work of the tasks that could start, in thousandths of a processor times milliseconds; lasting ones
    /// count as a second of work, and those that fit no machine of the `largest` size as nothing.
    pub(crate) fn waiting_work(&self, spec: &Spec, largest: Resources) -> u64 {
        let groups = spec.groups.iter().zip(&self.waiting);
        let groups = groups.filter(|(group, waiting)| {
            **waiting > 0 && group.room().fits(largest) && self.is_unblocked(group)
        });
        let work = |(group, waiting): (&Group, &u16)| {
            let lasting =
                if group.lasting && !group.filler { group.size.millicores * 1000 } else { 0 };
            group.work().saturating_add(lasting).saturating_mul(u64::from(*waiting))
        };
        groups.map(work).fold(0, u64::saturating_add)
    }

    /// Machines over which lasting tasks must spread at least, with one more so that a loss can be
    /// made good at once.
    pub(crate) fn machines(&self, spec: &Spec) -> u32 {
        let groups = spec.groups.iter().zip(&self.open);
        let groups = groups.filter(|(group, _)| group.lasting && self.is_unblocked(group));
        let machines = groups.filter_map(|(group, open)| {
            let apart = u32::from(group.apart?.max(1));
            Some(u32::from(*open).div_ceil(apart) + 1)
        });
        machines.max().unwrap_or(0)
    }

    pub(crate) fn slot(&self, group: u16, index: u16) -> Option<&Slot> {
        self.groups.get(usize::from(group))?.get(usize::from(index))
    }

    /// Moves a task to another phase.
    pub(crate) fn set(&mut self, group: u16, index: u16, phase: Phase) {
        let (group, index) = (usize::from(group), usize::from(index));
        let slot = &mut self.groups[group][index];
        self.waiting[group] -= u16::from(slot.phase == Phase::Waiting);
        self.waiting[group] += u16::from(phase == Phase::Waiting);
        self.open[group] -= u16::from(phase == Phase::Done && slot.phase != Phase::Done);
        slot.phase = phase;
    }
}
