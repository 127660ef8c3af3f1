use super::*;

/// Where a request without a final answer stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its claim is not decided yet.
    Claiming,
    /// It resends a request whose daemon is asked for the first answer.
    Asking {
        holder: Name,
        question: Question,
        /// When the holder was last heard of.
        heard: Time,
    },
    /// It waits for a slot.
    Waiting,
    /// An attempt runs.
    Running(AttemptId),
}
