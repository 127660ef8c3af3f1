use super::*;

/// Commands of the replicated table.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force, unless one with the same or a higher version is.
    Configure(Config),
    /// Accepts a job.
    Submit {
        /// Its id.
        id: JobId,
        /// Its queue.
        queue: Name,
        /// What it is.
        spec: Spec,
        /// When it was accepted.
        at: UnixMs,
    },
    /// Cancels a job.
    Cancel {
        /// Its id.
        id: JobId,
        /// When.
        at: UnixMs,
    },
    /// Starts a maintenance wave.
    StartWave {
        /// Its number.
        id: WaveId,
        /// What it is.
        wave: Wave,
    },
    /// What the owner of the instances has decided or seen.
    CommitBatch {
        /// When.
        at: UnixMs,
        /// What.
        batch: Batch,
    },
}
