use super::*;

/// Input of the [`Planner`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A planning pass is due, every [`Planner::TICK`].
    Tick,
    /// The platform confirms that a task has started.
    Started {
        /// Id of the job.
        job: Name,
        /// Epoch of the placement.
        epoch: Epoch,
    },
    /// The platform reports that a task has ended.
    Ended {
        /// Id of the job.
        job: Name,
        /// Epoch of the placement.
        epoch: Epoch,
        /// How the task ended.
        end: End,
    },
    /// The platform reports the usage of one worker.
    Usage(Usage),
    /// The platform reports that a worker is lost.
    Lost {
        /// Name of the worker.
        worker: Name,
    },
}
