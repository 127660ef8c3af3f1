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
    /// Propose a command to the log.
    Propose(Command),
    /// Send a message to another daemon.
    Send {
        /// The daemon.
        to: Name,
        /// What to send.
        message: Message,
    },
    /// Keep the answer of an attempt for resends of its request.
    Keep {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send the kept answer of a request to a daemon that asked for it.
    Share {
        /// The daemon.
        to: Name,
        /// What it asked.
        question: Question,
    },
    /// Call back after a time.
    Subscribe {
        /// Key of the timer.
        timer: Timer,
        /// How long to wait.
        after: Duration,
    },
}
