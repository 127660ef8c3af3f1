use super::*;

/// Timers of the reducer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timer {
    /// The deadline of a request that may still wait.
    Deadline(RequestId),
    /// A resend asks again for the first answer.
    Ask(RequestId),
    /// Something falls due at the pool of a service.
    Pool(usize),
    /// What got no answer is sent again.
    Resend,
    /// The next batch of notes may leave.
    Flush,
}
