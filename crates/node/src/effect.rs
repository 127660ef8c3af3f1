use super::*;

/// An action for the daemon to carry out; effects are handled in order. Recordings hash the `Debug`
/// text of effects, so the names and the order of fields, and the names of variants, must not
/// change.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Write a record to durable storage before any later message is sent.
    Persist(quorum::Record),
    /// Send a message.
    Send {
        /// Receiver.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Start a timer.
    Subscribe {
        /// Key of the timer.
        timer: Timer,
        /// Time until it expires.
        after: Duration,
    },
    /// Send a reply to an operator.
    Operator {
        /// The call.
        ticket: Ticket,
        /// The reply.
        reply: operator::Reply,
    },
    /// Send a reply to an upstream.
    Upstream {
        /// The call.
        ticket: Ticket,
        /// The reply.
        reply: upstream::Reply,
    },
    /// Call the platform.
    Platform(platform::Call),
    /// Send a caller's request to an upstream.
    Attempt(route::Attempt),
    /// Send the final answer to a caller.
    Answer {
        /// The request.
        request: route::RequestId,
        /// The outcome to report.
        outcome: route::Outcome,
    },
    /// Cache the answer of an attempt, for retries of its request.
    Keep {
        /// The request.
        request: route::RequestId,
        /// The attempt.
        attempt: route::AttemptId,
    },
    /// Send the cached answer of a request to a daemon that asked for it.
    Share {
        /// The daemon that asked.
        to: Name,
        /// Its question.
        question: route::Question,
    },
    /// Set the result of the health check, by which the load balancer decides whether to send
    /// callers here.
    Health(bool),
    /// The leader known to this daemon has changed.
    Leader(Option<Name>),
    /// Sent after [`Event::Stop`], once the last request has been answered.
    Stopped,
}
