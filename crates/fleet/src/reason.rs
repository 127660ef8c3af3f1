use super::*;

/// What a journal entry records: a decision with its reason, or an event.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A configuration was accepted.
    #[display("`{author}` made revision {revision}")]
    Configured {
        /// Revision of the configuration.
        revision: Revision,
        /// Operator who applied it.
        author: Name,
    },
    /// A configuration was refused because pools overlap.
    #[display("change of `{author}` refused: {overlaps} instances would be in several pools")]
    Overlaps {
        /// Operator who sent the configuration.
        author: Name,
        /// Number of instances that several pools would select.
        overlaps: usize,
    },
    /// An instance announced itself with this incarnation.
    #[display("announced itself with incarnation {_0}")]
    Announced(u64),
    /// An instance announced that it leaves, or its lease expired.
    #[display("is {_0}")]
    Departed(Presence),
    /// This operator removed the instance.
    #[display("forgotten by `{_0}`")]
    Forgotten(Name),
    /// Several pools select the instance, so it joins none.
    #[display("kept out: {_0}")]
    Overlap(Overlap),
    /// No pool selects the instance.
    #[display("no pool selects it, so it gets no new work")]
    Unplaced,
    /// The instance joined a pool.
    #[display("joined pool `{pool}` in epoch {epoch}")]
    Joined {
        /// Pool that it joined.
        pool: Name,
        /// Epoch in which its membership in the pool starts.
        epoch: Epoch,
    },
    /// The instance was drained and left this pool.
    #[display("left pool `{_0}`, drained")]
    Parted(Name),
    /// A disruption for this purpose was granted.
    #[display("granted {_0}: every budget stays intact")]
    Granted(Purpose),
    /// A disruption was refused.
    #[display("not disrupted for {purpose}: {error}")]
    Refused {
        /// Purpose of the disruption.
        purpose: Purpose,
        /// Why it was refused.
        error: Error,
    },
    /// The instance was drained and can be rebooted.
    #[display("drained, to be rebooted")]
    Drained,
    /// The platform accepted the reboot.
    #[display("the platform accepted the reboot")]
    Rebooted,
    /// The instance came back from its reboot, or restarted during its soak time; its soak time
    /// starts.
    #[display("returned from its reboot, proves itself")]
    Returned,
    /// The soak time ended without a failure, so the maintenance of the instance is done.
    #[display("maintained and available")]
    Released,
    /// The instance did not drain in time, so its grant ended and it returned to service.
    #[display("did not finish its work in time: takes new work again, not rebooted")]
    Undrained,
    /// The instance did not come back from its reboot in time, so it counts as failed.
    #[display("did not come back from its reboot in time: counts as down")]
    Missing,
    /// The instance departed during its soak time, so its maintenance failed.
    #[display("lost again right after its return: counts as down")]
    LostAgain,
    /// A loan to this pool started.
    #[display("lent to pool `{_0}`")]
    Lent(Name),
    /// The end of the loan to this pool started: the instance is drained, then returned.
    #[display("to return from pool `{_0}`")]
    Recalled(Name),
    /// A wave started.
    #[display("started by `{author}` over {instances} instances")]
    Started {
        /// Operator who started the wave, or [`Planner::SCHEDULE`].
        author: Name,
        /// Number of instances in the wave.
        instances: usize,
    },
    /// An operator changed the state of a wave.
    #[display("{standing} by `{author}`")]
    Ordered {
        /// The new state.
        standing: Standing,
        /// Operator who ordered the change.
        author: Name,
    },
    /// A wave stopped after this number of failures.
    #[display("stopped by itself: {_0} returned instances failed")]
    Stopped(u32),
    /// A wave finished.
    #[display("finished: {done} done, {failed} failed, {skipped} skipped")]
    Finished {
        /// Number of maintained instances.
        done: usize,
        /// Number of failed instances.
        failed: usize,
        /// Number of skipped instances.
        skipped: usize,
    },
    /// A wave waits for this reason.
    #[display("{_0}")]
    Waits(Wait),
}
