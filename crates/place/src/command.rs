use super::*;

/// Commands that change the placement state. Each is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A team submits a job.
    Submit {
        /// Job id chosen by the team; a resend carries the same id.
        id: Name,
        /// The submitted job.
        job: Job,
    },
    /// A team cancels a job.
    Cancel {
        /// Job id. The cancellation may arrive before the submission.
        id: Name,
    },
    /// The platform adds a worker, or updates its description.
    Worker {
        /// Name of the worker.
        name: Name,
        /// Description of the worker.
        worker: Worker,
    },
    /// The platform removes a worker.
    Remove {
        /// Name of the worker.
        name: Name,
    },
    /// A new leader takes over; plans of earlier terms are refused from then on.
    Lead {
        /// Term of the new leader.
        term: Term,
    },
    /// Decisions of the leader.
    Plan(Plan),
}
