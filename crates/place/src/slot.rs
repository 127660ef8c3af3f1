use super::*;

/// The planner's record of one worker, referred to by its index in `Planner::slots`.
#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub(crate) name: Name,
    pub(crate) size: Resources,
    /// Resources that the replicated state has not reserved.
    pub(crate) free: Resources,
    /// Resources held by proposed placements and claims on top of that.
    pub(crate) held: Resources,
    /// Whether a further task may be started.
    pub(crate) open: bool,
    /// Whether the worker is lost, or this planner has proposed that it is.
    pub(crate) lost: bool,
    /// Number of tasks placed on it.
    pub(crate) tasks: usize,
    /// Local time of the latest usage report.
    pub(crate) last_report: Time,
    /// Local time at which its leases are renewed next.
    pub(crate) renew_at: Time,
    /// Consecutive reports that show it overfull.
    pub(crate) overfull_reports: u32,
    /// Reports measured before this local time throttle, release and resize no task, as they may
    /// include a task that was released since.
    pub(crate) valid_from: Time,
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
            last_report: now,
            renew_at: now,
            overfull_reports: 0,
            valid_from: Time::ZERO,
        }
    }

    /// Resources that a further job can reserve.
    pub(crate) fn room(&self) -> Resources {
        self.free.saturating_sub(self.held)
    }

    /// Score of what is left of this worker with `reserve` on it; lower is a better fit.
    /// Accelerators that a job without accelerators leaves unused weigh most.
    pub(crate) fn fit_score(&self, reserve: Resources) -> u64 {
        let left = self.room().saturating_sub(reserve);
        let share = |part: u64, whole: u64| part * 1000 / whole.max(1);
        share(left.millicores, self.size.millicores)
            + share(left.memory_mb, self.size.memory_mb)
            + if reserve.accelerators == 0 { left.accelerators * 2000 } else { left.accelerators }
    }
}
