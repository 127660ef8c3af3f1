use super::*;

/// What a member wants done, in order: a send may leave only after the records before it are
/// durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Make a record durable.
    Persist(Record),
    /// Send a message.
    Send {
        /// Member to send to.
        to: Name,
        /// What to send.
        message: Message,
    },
    /// Apply a committed entry; indices come in order, without gaps.
    Apply {
        /// Index of the entry.
        index: Index,
        /// The entry.
        entry: Entry,
    },
    /// Encode the state as it is after all entries applied so far, and return it as
    /// [`Event::Snapshot`].
    Snapshot {
        /// Index of the last entry applied.
        index: Index,
    },
    /// Replace the state by that of a snapshot.
    Install(Snapshot),
    /// Call back after a time.
    Subscribe {
        /// Key of the timer.
        timer: Timer,
        /// How long to wait.
        after: Duration,
    },
    /// Index of the membership after [`Event::Change`], or why nothing changes.
    Changed(Result<Index, Refusal>),
    /// Who leads, as far as this member knows, has changed.
    Leader(Option<Name>),
}
