use super::*;

/// Timers that [`State::reduce`] sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timer {
    /// The deadline of a request.
    Deadline(RequestId),
    /// A resend is to repeat its question about the first answer.
    Ask(RequestId),
    /// The pool of the dispatcher at this index has something due.
    Pool(usize),
    /// Unanswered slot requests and recalls are to be sent again.
    Resend,
    /// The next batch of notes may be sent.
    Flush,
}
