use super::*;

/// Input to [`State::reduce`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The process started.
    Start,
    /// A timer expired.
    Timer(Timer),
    /// A message was received.
    Message {
        /// Sender, authenticated by the transport.
        from: Name,
        /// The message.
        message: Message,
    },
    /// A command to append to the log; ignored unless this member is the leader.
    Propose(Vec<u8>),
    /// A request to change the membership.
    Change(Change),
    /// A request to transfer leadership to another voter; ignored unless this member is the
    /// leader and another voter has a complete log.
    Yield,
    /// All entries up to this one are durable.
    Synced {
        /// Term of the entry.
        term: Term,
        /// Index of the entry.
        index: Index,
    },
    /// The encoded replicated state, requested by [`Effect::Snapshot`].
    Snapshot {
        /// Index of the last entry that the state includes.
        index: Index,
        /// The encoded state.
        #[serde(with = "serde_bytes")]
        state: Vec<u8>,
    },
}
