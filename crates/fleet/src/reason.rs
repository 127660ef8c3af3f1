use super::*;

/// Why something was done, or was not.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A configuration was accepted.
    #[display("`{author}` made revision {revision}")]
    Configured {
        /// Its number.
        revision: Revision,
        /// Who made it.
        author: Name,
    },
    /// A configuration was refused.
    #[display("change of `{author}` refused: {overlaps} instances would be in several pools")]
    Overlaps {
        /// Who asked.
        author: Name,
        /// Number of instances.
        overlaps: usize,
    },
    /// An instance announced itself.
    #[display("announced itself with incarnation {_0}")]
    Announced(u64),
    /// An instance left, or was not heard.
    #[display("is {_0}")]
    Departed(Presence),
    /// An instance was forgotten.
    #[display("forgotten by `{_0}`")]
    Forgotten(Name),
    /// Several pools select the instance, so that none gets it.
    #[display("kept out: {_0}")]
    Overlap(Overlap),
    /// No pool selects the instance.
    #[display("no pool selects it, so it gets no new work")]
    Unplaced,
    /// A tenure started.
    #[display("joined pool `{pool}` in epoch {epoch}")]
    Joined {
        /// The pool.
        pool: Name,
        /// Epoch of the tenure.
        epoch: Epoch,
    },
    /// A tenure ended.
    #[display("left pool `{_0}`, drained")]
    Parted(Name),
    /// A disruption was granted.
    #[display("granted {_0}: every budget stays intact")]
    Granted(Purpose),
    /// A disruption was refused.
    #[display("not disrupted for {purpose}: {error}")]
    Refused {
        /// What it was for.
        purpose: Purpose,
        /// Why not.
        error: Error,
    },
    /// The instance is idle and is to be rebooted.
    #[display("drained, to be rebooted")]
    Drained,
    /// The platform accepted a reboot.
    #[display("the platform accepted the reboot")]
    Rebooted,
    /// The instance came back from its reboot.
    #[display("returned from its reboot, proves itself")]
    Returned,
    /// The grant ended well.
    #[display("maintained and available")]
    Released,
    /// The instance did not drain in time.
    #[display("did not finish its work in time: takes new work again, not rebooted")]
    Undrained,
    /// The instance did not come back in time.
    #[display("did not come back from its reboot in time: counts as down")]
    Missing,
    /// The instance was lost right after its return.
    #[display("lost again right after its return: counts as down")]
    LostAgain,
    /// A loan started.
    #[display("lent to pool `{_0}`")]
    Lent(Name),
    /// A loan is to end.
    #[display("to return from pool `{_0}`")]
    Recalled(Name),
    /// A wave started.
    #[display("started by `{author}` over {instances} instances")]
    Started {
        /// Who started it.
        author: Name,
        /// Number of instances.
        instances: usize,
    },
    /// An operator changed the state of a wave.
    #[display("{standing} by `{author}`")]
    Ordered {
        /// State that was asked for.
        standing: Standing,
        /// Who asked.
        author: Name,
    },
    /// A wave stopped by itself.
    #[display("stopped by itself: {_0} returned instances failed")]
    Stopped(u32),
    /// A wave came to its end.
    #[display("finished: {done} done, {failed} failed, {skipped} skipped")]
    Finished {
        /// Instances maintained.
        done: usize,
        /// Instances that failed.
        failed: usize,
        /// Instances left out.
        skipped: usize,
    },
    /// A wave gives no grant for now.
    #[display("{_0}")]
    Waits(Wait),
}
