use super::*;

/// Result of a committed command, for the scheduler and for the client that sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The configuration was processed.
    Configured,
    /// The job exists, whether it was new or not.
    Accepted(JobId),
    /// The id belongs to another job: of another organisation or queue, or with another
    /// description.
    Conflict(JobId),
    /// The job was cancelled or had ended before.
    Cancelled(JobId),
    /// The job does not exist.
    UnknownJob(JobId),
    /// An attempt may start.
    Claimed(Claim),
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// A job has ended.
    JobEnded(JobId),
    /// The wave exists, whether it was new or not.
    WaveStarted(WaveId),
    /// A new leader was recorded.
    TakenOver(Leader),
}
