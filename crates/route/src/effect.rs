use super::*;

/// Actions that [`State::reduce`] asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a request to an upstream.
    Attempt(Attempt),
    /// Give a caller the final answer to its request.
    Answer {
        /// The request.
        request: RequestId,
        /// What to answer.
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
        /// The question it asked.
        question: Question,
    },
    /// Set a timer.
    Subscribe {
        /// The timer, to be returned in [`Event::Timer`].
        timer: Timer,
        /// Delay until it fires.
        after: Duration,
    },
}
