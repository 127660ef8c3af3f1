use super::*;

/// What a caller learns of its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran; the answer is that of the attempt.
    Run(AttemptId),
    /// It resends a request of this daemon; the answer is that of the first.
    Kept(RequestId),
    /// It resends a request of another daemon, which passed the first answer on.
    Passed(Answer),
    /// It certainly did not run.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run.
    Unknown(Reason),
}
