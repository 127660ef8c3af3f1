use super::*;

/// What the reducer wants done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a request to an upstream.
    Attempt(Attempt),
    /// Answer a caller; nothing further happens to the request.
    Answer {
        /// The request.
        request: RequestId,
        /// What its caller learns.
        outcome: Outcome,
    },
    /// Call back after a time.
    Subscribe {
        /// Key of the timer.
        timer: Timer,
        /// How long to wait.
        after: Duration,
    },
}
