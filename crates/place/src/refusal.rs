use super::*;

/// Why a step of a plan is not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Refusal {
    /// The plan is of an earlier term.
    #[display("plan of an earlier term")]
    Term,
    /// No such job is held.
    #[display("no such job")]
    Job,
    /// The job has had another placement since.
    #[display("another placement since")]
    Epoch,
    /// The task was released before.
    #[display("released before")]
    Released,
    /// Its lease is not over.
    #[display("lease is not over")]
    Lease,
    /// The cause does not hold.
    #[display("cause does not hold")]
    Cause,
    /// No such worker is there.
    #[display("no such worker")]
    Worker,
    /// Less is held than the overcommit rule wants.
    #[display("reserve is below the overcommit rule")]
    Reserve,
    /// The job waits for another reason.
    #[display("{_0}")]
    Wait(Wait),
}
