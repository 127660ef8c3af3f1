use super::*;

/// What the daemon that holds a claim knows about the outcome of its request. Sent to the daemon
/// that received a resend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It has no final answer yet.
    Pending,
    /// It ran; this is its answer.
    Run(Answer),
    /// It certainly did not run, and its claim is being released.
    NotRun,
    /// It may have run, or its answer is no longer kept.
    Unknown(Reason),
}
