use super::*;

/// A worker as the planner sees it.
#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub(crate) name: Name,
    pub(crate) size: Resources,
    /// What the replicated state has left there.
    pub(crate) free: Resources,
    /// What proposals and claims hold beyond that.
    pub(crate) held: Resources,
    /// Whether a further task may start there.
    pub(crate) open: bool,
    pub(crate) lost: bool,
    pub(crate) tasks: usize,
    /// When a report of it last came.
    pub(crate) heard: Time,
    /// When its leases are due for renewal.
    pub(crate) renew_at: Time,
    /// Reports in a row that show it overfull.
    pub(crate) overfull: u32,
    /// Reports measured before this are out of date.
    pub(crate) settled: Time,
}

impl Slot {
    pub(crate) fn new(name: Name, now: Time) -> Self {
        Self {
            name,
            size: Resources::default(),
            free: Resources::default(),
            held: Resources::default(),
            open: false,
            lost: false,
            tasks: 0,
            heard: now,
            renew_at: now,
            overfull: 0,
            settled: Time::ZERO,
        }
    }

    /// What a further job may take.
    pub(crate) fn room(&self) -> Resources {
        self.free.saturating_sub(self.held)
    }

    /// How much is left over of this worker with `reserve` on it; less is better.
    pub(crate) fn left_over(&self, reserve: Resources) -> u64 {
        let left = self.room().saturating_sub(reserve);
        let share = |part: u64, whole: u64| part * 1000 / whole.max(1);
        share(left.millicores, self.size.millicores)
            + share(left.memory_mb, self.size.memory_mb)
            + if reserve.accelerators == 0 { left.accelerators * 2000 } else { left.accelerators }
    }
}
