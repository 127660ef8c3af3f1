use super::*;

/// Why a step of a plan is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Refusal {
    /// The plan is not from the current term, usually from an earlier one.
    #[display("plan of an earlier term")]
    Term,
    /// The job does not exist or has ended.
    #[display("no such job")]
    Job,
    /// The job's latest placement is not the one that the step was made for.
    #[display("another placement since")]
    Epoch,
    /// The task is already released.
    #[display("released before")]
    Released,
    /// The lease of the task has not expired.
    #[display("lease is not over")]
    Lease,
    /// The cause of the release does not apply to the job.
    #[display("cause does not hold")]
    Cause,
    /// The worker does not exist.
    #[display("no such worker")]
    Worker,
    /// The reserve is below [`State::min_reserve`], or has another number of accelerators than the
    /// job declares.
    #[display("reserve is below the overcommit rule")]
    Reserve,
    /// The job, or its additional reserve, cannot be placed now for this reason.
    #[display("{_0}")]
    Wait(Wait),
}
