use super::*;

/// The input from which the initial state of a daemon is created.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct InitialState {
    pub(crate) id: Name,
    /// Random number of this start of the process; also seeds the random number generators.
    pub(crate) boot: u64,
    pub(crate) members: BTreeMap<Name, quorum::Role>,
    pub(crate) restored: quorum::PersistentState,
    pub(crate) stop_grace: Duration,
    pub(crate) stop_limit: Option<Duration>,
}

impl InitialState {
    /// The state of a daemon that has just started.
    pub(crate) fn into_state(self) -> node::State {
        let quorum = quorum::State::new(self.id, self.members, self.restored, self.boot);
        node::State::new(quorum, self.boot).with_stop_limits(stop::Limits {
            serving: self.stop_grace,
            draining: Duration::ZERO,
            grace: self.stop_limit,
        })
    }
}
