use super::*;

/// The planner's record of one placed job.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    /// Index of the worker in `Planner::slots`.
    pub(crate) slot: usize,
    pub(crate) epoch: Epoch,
    /// Local time at which the planner first saw the placement.
    pub(crate) seen: Time,
    /// Local time at which the platform confirmed the start.
    pub(crate) confirmed: Option<Time>,
    /// Local time at which the planner first saw the release, or proposed it.
    pub(crate) released: Option<Time>,
    /// Local time at which the next call about the task is due.
    pub(crate) due: Option<Time>,
    /// Usage in the latest report that includes the task.
    pub(crate) usage: Option<Resources>,
    /// Greatest usage reported to this planner, of each amount.
    pub(crate) peak: Option<Resources>,
    /// Local time at which it was last checked whether its reservation should change.
    pub(crate) resize_checked: Time,
}

impl Task {
    pub(crate) fn new(slot: usize, epoch: Epoch, now: Time) -> Self {
        Self {
            slot,
            epoch,
            seen: now,
            confirmed: None,
            released: None,
            due: None,
            usage: None,
            peak: None,
            resize_checked: now,
        }
    }
}
