use super::*;

/// Timers that [`State::reduce`] sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timer {
    /// The deadline of a request.
    Deadline(RequestId),
    /// The interval has passed after which a resend repeats its question about the first answer.
    Ask(RequestId),
    /// In the pool of the dispatcher at this index, a lease or a pause ends or a queued request
    /// becomes overdue.
    Pool(usize),
    /// The interval has passed after which unanswered slot requests and recalls are sent again.
    Resend,
    /// The next batch of notes may be sent.
    Flush,
}
