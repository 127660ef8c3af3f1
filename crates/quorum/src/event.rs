use super::*;

/// What may happen to a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The process started.
    Start,
    /// A timer fell due.
    Timer(Timer),
    /// A message arrived.
    Message {
        /// Member that sent it, as the transport verified it.
        from: Name,
        /// What it sent.
        message: Message,
    },
    /// A command is to be appended; ignored unless this member leads.
    Propose(Vec<u8>),
    /// A member is to change.
    Change(Change),
    /// Leadership is to go to another voter; ignored unless this member leads, and some voter has all
    /// of its log.
    Yield,
    /// Everything up to this entry is on disk.
    Synced {
        /// Term of the entry.
        term: Term,
        /// Index of the entry.
        index: Index,
    },
    /// The state after the entries up to `index`.
    Snapshot {
        /// Index of the last entry applied.
        index: Index,
        /// Encoded state.
        #[serde(with = "serde_bytes")]
        state: Vec<u8>,
    },
}
