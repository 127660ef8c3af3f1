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
        at: Unix,
    },
    /// Cancels a job.
    Cancel {
        /// Its id.
        id: JobId,
        /// When.
        at: Unix,
    },
    /// Starts a maintenance wave.
    Maintain {
        /// Its number.
        id: WaveId,
        /// What it is.
        wave: Wave,
    },
    /// What the owner of the instances has decided or seen.
    Settle {
        /// When.
        at: Unix,
        /// What.
        batch: Batch,
    },
}
