use super::*;

/// One decision in a [`Plan`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Places a waiting job on a worker.
    Place {
        /// Id of the job.
        job: Name,
        /// Epoch of its latest placement, 0 if it was never placed.
        after: Epoch,
        /// Name of the worker.
        worker: Name,
        /// Resources to reserve for it.
        reserve: Resources,
    },
    /// Changes the reservation of a task.
    Resize {
        /// Id of the job.
        job: Name,
        /// Epoch of its placement.
        epoch: Epoch,
        /// The new reservation.
        reserve: Resources,
    },
    /// Releases a task: its lease is no longer renewed, and the platform is asked to stop it.
    Release {
        /// Id of the job.
        job: Name,
        /// Epoch of its placement.
        epoch: Epoch,
        /// Why it is released.
        cause: Cause,
    },
    /// Records that a task has ended.
    End {
        /// Id of the job.
        job: Name,
        /// Epoch of its placement.
        epoch: Epoch,
        /// How it ended.
        end: End,
        /// Peak usage, if any was reported.
        peak: Option<Resources>,
    },
    /// Marks a worker as lost and releases its tasks.
    Lose {
        /// Name of the worker.
        worker: Name,
    },
    /// Marks a lost worker as present again.
    Find {
        /// Name of the worker.
        worker: Name,
    },
}
