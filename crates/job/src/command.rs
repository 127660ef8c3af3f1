use super::*;

/// Commands of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration, unless the current version is the same or higher.
    Configure(Config),
    /// Adds a job.
    Submit {
        /// Id of the job.
        id: JobId,
        /// Queue of the job.
        queue: Name,
        /// Description of the job.
        spec: Spec,
        /// Organisation that submitted it.
        organisation: Option<Name>,
        /// When the job was accepted.
        at: UnixMs,
    },
    /// Cancels a job.
    Cancel {
        /// Id of the job.
        id: JobId,
        /// When it was cancelled.
        at: UnixMs,
    },
    /// Starts a maintenance wave.
    StartWave {
        /// Id of the wave.
        id: WaveId,
        /// Description of the wave.
        wave: Wave,
    },
    /// Decisions and observations of the scheduler.
    CommitBatch {
        /// When they were proposed.
        at: UnixMs,
        /// What to commit.
        batch: Batch,
    },
    /// Records a new leader, before it sends its first order about a machine.
    TakeOver(Leader),
    /// Replaces the configuration, as [`Command::Configure`] does, by the one in the text. Whoever
    /// applies it reads the text and applies `Configure`, unless the version is not newer.
    Publish(Document),
}
