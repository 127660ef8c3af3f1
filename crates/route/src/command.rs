use super::*;

/// Commands in the log that change [`ReplicatedState`]. Each is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A daemon asks for the right to run a non-idempotent request.
    Claim(Claim),
    /// Drop a claim whose request certainly did not run and will not run under this claim.
    Release(Claim),
    /// Add a daemon to the roster.
    Join {
        /// The daemon.
        daemon: Name,
        /// Boot id of the daemon.
        boot: u64,
    },
    /// Remove a daemon from the roster. Proposed once its view lease has certainly expired.
    Part {
        /// The daemon.
        daemon: Name,
        /// Boot id of the daemon.
        boot: u64,
    },
    /// Advance the log time. Ignored unless the log time is `from`.
    Tick {
        /// Log time as the leader read it.
        from: Duration,
        /// `from` plus the time that has passed since on the leader's clock.
        to: Duration,
    },
}
