use super::*;

/// A placed job as the planner sees it.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) slot: usize,
    pub(crate) epoch: Epoch,
    /// When the planner first saw the placement.
    pub(crate) seen: Time,
    /// When the platform confirmed its start.
    pub(crate) confirmed: Option<Time>,
    /// When the planner first saw its release, or proposed it.
    pub(crate) released: Option<Time>,
    /// When a call about it is due.
    pub(crate) due: Option<Time>,
    pub(crate) usage: Option<Resources>,
    pub(crate) peak: Option<Resources>,
    pub(crate) resized: Time,
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
            resized: now,
        }
    }
}
