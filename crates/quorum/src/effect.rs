use super::*;

/// What the caller must carry out, in order: a message may be sent only once the records that
/// precede it are durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Write a record to durable storage.
    Persist(Record),
    /// Send a message.
    Send {
        /// Receiver.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry to the replicated state; indices are consecutive.
    Apply {
        /// Index of the entry.
        index: Index,
        /// The committed entry.
        entry: Entry,
    },
    /// Encode the replicated state as of the last entry applied, and return it as
    /// [`Event::Snapshot`].
    Snapshot {
        /// Index of the last entry applied.
        index: Index,
    },
    /// Replace the replicated state with that of a snapshot.
    Install(Snapshot),
    /// Start a timer.
    Subscribe {
        /// Key of the timer.
        timer: Timer,
        /// Time until it expires.
        after: Duration,
    },
    /// Answer to [`Event::Change`]: the log index of the resulting membership, or the reason for
    /// the refusal.
    Changed(Result<Index, Refusal>),
    /// The leader known to this member has changed; `None` if there is none.
    Leader(Option<Name>),
}
