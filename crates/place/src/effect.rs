use super::*;

/// Result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A submission got its verdict; a resend gets the first verdict again.
    Verdict {
        /// Id of the job.
        job: Name,
        /// Answer to the submission.
        verdict: Verdict,
    },
    /// A cancellation was accepted; a resend gets the same answer.
    Cancelled {
        /// Id of the job.
        job: Name,
    },
    /// The record of a job changed, or the job has ended.
    Job(Name),
    /// The record of a worker changed.
    Worker(Name),
    /// The leader of this term took over.
    Lead(Term),
    /// A step of a plan was refused.
    Refused {
        /// The refused step.
        step: Step,
        /// Why it was refused.
        refusal: Refusal,
    },
    /// The quotas of teams changed.
    Quotas,
}
