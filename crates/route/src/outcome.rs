use super::*;

/// Final outcome of a request, as its caller is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran; the answer is that of the given attempt.
    Run(AttemptId),
    /// It is a resend of the given request of this daemon, whose answer is kept.
    Kept(RequestId),
    /// It is a resend of a request of another daemon, which sent the first answer.
    Passed(Answer),
    /// It certainly did not run.
    NotRun {
        /// Reason to give to the caller.
        reason: Reason,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// It may have run.
    Unknown(Reason),
}
