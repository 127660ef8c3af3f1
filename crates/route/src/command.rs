use super::*;

/// Commands that change the ledger, each idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A daemon wants to run a non-idempotent request.
    Claim(Claim),
    /// The request of a claim certainly did not run, and will not under this claim.
    Release(Claim),
    /// A daemon dispatches.
    Join {
        /// The daemon.
        daemon: Name,
        /// Its start.
        boot: u64,
    },
    /// A daemon's view lease has surely run out.
    Part {
        /// The daemon.
        daemon: Name,
        /// Its start.
        boot: u64,
    },
    /// Log time moves on; ignored unless it stands at `from`.
    Tick {
        /// Log time that the leader saw.
        from: Duration,
        /// The same plus what has passed since on the leader's clock.
        to: Duration,
    },
}
