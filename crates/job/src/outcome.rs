use super::*;

/// What follows from a committed command, for the owner and for whoever waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A configuration came into force.
    Configured,
    /// A job is there, whether it is new or not.
    Accepted(JobId),
    /// A job is cancelled, or has ended before.
    Cancelled(JobId),
    /// No such job.
    UnknownJob(JobId),
    /// An attempt may start.
    Claimed(Claim),
    /// An attempt is over.
    AttemptEnded(AttemptEnd),
    /// A job has ended.
    JobEnded(JobId),
    /// A wave is known.
    WaveStarted(WaveId),
}
