use super::*;

/// Messages between the dispatchers of two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A resend came in: what became of the first request?
    Ask(Question),
    /// What became of the first request.
    Tell {
        /// The question, as it was asked.
        question: Question,
        /// What became of it.
        fate: Fate,
    },
    /// Slots are asked for, granted and given back.
    Slots(Parcel),
}
