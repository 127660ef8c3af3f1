use super::*;

/// What follows from a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A submission was judged; a resend gets the first verdict.
    Verdict {
        /// The job.
        job: Name,
        /// What became of it.
        verdict: Verdict,
    },
    /// A cancellation is noted; a resend changes nothing.
    Cancelled {
        /// The job.
        job: Name,
    },
    /// A job has another phase, or has ended.
    Job(Name),
    /// A worker is another than before.
    Worker(Name),
    /// A leader took over.
    Lead(Term),
    /// A step of a plan was not carried out.
    Refused {
        /// The step.
        step: Step,
        /// Why.
        refusal: Refusal,
    },
    /// Quotas are others than before.
    Quotas,
}
