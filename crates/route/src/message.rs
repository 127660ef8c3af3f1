use super::*;

/// Messages between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the daemon that holds a claim for the outcome of its request, on behalf of a resend.
    Ask(Question),
    /// Replies to [`Message::Ask`].
    Tell {
        /// The question that this answers.
        question: Question,
        /// What the daemon knows about the outcome.
        fate: Fate,
    },
    /// Requests, grants and releases of slots.
    Slots(Parcel),
}
