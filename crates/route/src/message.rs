use super::*;

/// Messages between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks what became of a request that was resent elsewhere.
    Ask(Question),
    /// Replies to [`Message::Ask`].
    Tell {
        /// The question that this answers.
        question: Question,
        /// What became of it.
        fate: Fate,
    },
    /// Requests, grants and releases of slots.
    Slots(Parcel),
}
