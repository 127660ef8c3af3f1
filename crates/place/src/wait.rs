use super::*;

/// Why a job waits.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Wait {
    /// Its turn has not come.
    #[display("its turn has not come")]
    Turn,
    /// It failed, and is backed off.
    #[display("backed off after failures on {workers} workers, until {} s", until.as_secs())]
    BackOff {
        /// Replicated time at which it may be placed.
        until: Time,
        /// Workers on which it failed.
        workers: usize,
    },
    /// Its team holds as much as its quota allows.
    #[display("quota of team `{team}` is used")]
    Quota {
        /// The team.
        team: Name,
    },
    /// Its group holds as much as may be in every rack with room.
    #[display("its group fills every rack with room")]
    Spread,
    /// Workers with room are quarantined, on probation, or do not answer.
    #[display("workers with room are quarantined or lost")]
    Health,
    /// No worker has room.
    #[display("no worker has room")]
    Room,
    /// Its labels fit no such worker.
    #[display("labels do not match")]
    Labels,
}
