use super::*;

/// Progress of a request without a final answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for the log to decide on its claim.
    Claiming,
    /// It is a resend; the daemon that holds the claim is being asked for the first answer.
    Asking {
        holder: Name,
        question: Question,
        /// When the holder last replied.
        heard: Time,
    },
    /// Waits for a slot.
    Waiting,
    /// An attempt is in progress.
    Running(AttemptId),
}
