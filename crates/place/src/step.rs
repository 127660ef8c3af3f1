use super::*;

/// One decision of a leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// A job is placed.
    Place {
        /// The job.
        job: Name,
        /// Epoch of its last placement, 0 where there was none.
        after: Epoch,
        /// Where it goes.
        worker: Name,
        /// What is held for it.
        reserve: Resources,
    },
    /// What is held for a task changes.
    Resize {
        /// The job.
        job: Name,
        /// Epoch of its placement.
        epoch: Epoch,
        /// What is held for it.
        reserve: Resources,
    },
    /// A task is to end; its lease is no longer renewed.
    Release {
        /// The job.
        job: Name,
        /// Epoch of its placement.
        epoch: Epoch,
        /// Why.
        cause: Cause,
    },
    /// A task has ended.
    End {
        /// The job.
        job: Name,
        /// Epoch of its placement.
        epoch: Epoch,
        /// How.
        end: End,
        /// Greatest usage seen.
        peak: Option<Resources>,
    },
    /// A worker does not answer; its tasks are released.
    Lose {
        /// The worker.
        worker: Name,
    },
    /// A worker answers again.
    Find {
        /// The worker.
        worker: Name,
    },
}
