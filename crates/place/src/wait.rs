use super::*;

/// Why a job waits.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Wait {
    /// A worker has room for it, but other jobs come first.
    #[display("its turn has not come")]
    Turn,
    /// It failed, and is backed off.
    #[display("backed off after failures on {workers} workers, until {} s", until.as_secs())]
    BackOff {
        /// Replicated time from which it may be placed.
        until: Time,
        /// Number of workers on which it failed.
        workers: usize,
    },
    /// Its team's quota does not allow it now.
    #[display("quota of team `{team}` is used")]
    Quota {
        /// Name of the team.
        team: Name,
    },
    /// Every rack with room has as many jobs of its group as its spread allows.
    #[display("its group fills every rack with room")]
    Spread,
    /// The workers with room are quarantined, on probation, lost or removed.
    #[display("workers with room are quarantined or lost")]
    Health,
    /// No worker has room.
    #[display("no worker has room")]
    Room,
    /// The worker's labels do not match the job's selector.
    #[display("labels do not match")]
    Labels,
}
