use super::*;

/// What may happen to a leader's planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A pass is due.
    Tick,
    /// The platform confirms a start.
    Started {
        /// The job.
        job: Name,
        /// Epoch of its placement.
        epoch: Epoch,
    },
    /// The platform says that a task has ended.
    Ended {
        /// The job.
        job: Name,
        /// Epoch of its placement.
        epoch: Epoch,
        /// How.
        end: End,
    },
    /// The platform reports usage.
    Usage(Usage),
    /// The platform says that a worker is lost.
    Lost {
        /// The worker.
        worker: Name,
    },
}
