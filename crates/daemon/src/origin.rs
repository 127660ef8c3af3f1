use super::*;

/// What the state of a daemon starts from.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Origin {
    pub(crate) id: Name,
    /// Number that differs between any two starts; the seed of what is left to chance.
    pub(crate) boot: u64,
    pub(crate) members: BTreeMap<Name, quorum::Role>,
    pub(crate) restored: quorum::PersistentState,
    pub(crate) stop_grace: Duration,
}

impl Origin {
    /// The state of a daemon that has just started.
    pub(crate) fn state(self) -> node::State {
        let quorum = quorum::State::new(self.id, self.members, self.restored, self.boot);
        node::State::new(quorum, self.boot).with_stop_grace(self.stop_grace)
    }
}
