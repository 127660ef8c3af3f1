use super::*;

/// Commands that change what runs where, each idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A job is wanted.
    Submit {
        /// Id that the team gave it; a resend carries the same.
        id: Name,
        /// The job.
        job: Job,
    },
    /// A job is no longer wanted.
    Cancel {
        /// Its id, which may be yet unknown.
        id: Name,
    },
    /// The platform has a worker, or describes it anew.
    Worker {
        /// Its name.
        name: Name,
        /// What it is.
        worker: Worker,
    },
    /// The platform no longer has a worker.
    Remove {
        /// Its name.
        name: Name,
    },
    /// A leader takes over; plans of earlier terms are refused from here on.
    Lead {
        /// Its term.
        term: Term,
    },
    /// The leader's decisions.
    Plan(Plan),
}
