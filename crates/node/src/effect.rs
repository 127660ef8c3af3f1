use super::*;

/// Everything that a daemon may want done, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Make a record durable before anything that follows is sent.
    Persist(quorum::Record),
    /// Send a message.
    Send {
        /// Peer to send to.
        to: Name,
        /// What to send.
        message: Message,
    },
    /// Call back after a time.
    Subscribe {
        /// Key of the timer.
        timer: Timer,
        /// How long to wait.
        after: Duration,
    },
    /// Reply to an operator.
    Operator {
        /// Number of the call.
        ticket: Ticket,
        /// The reply.
        reply: operator::Reply,
    },
    /// Reply to an upstream.
    Upstream {
        /// Number of the call.
        ticket: Ticket,
        /// The reply.
        reply: upstream::Reply,
    },
    /// Call the platform.
    Platform(platform::Call),
    /// Send a request to an upstream.
    Attempt(route::Attempt),
    /// Answer a caller.
    Answer {
        /// The request.
        request: route::RequestId,
        /// What its caller learns.
        outcome: route::Outcome,
    },
    /// Keep the answer of an attempt for resends of its request.
    Keep {
        /// The request.
        request: route::RequestId,
        /// The attempt.
        attempt: route::AttemptId,
    },
    /// Send the kept answer of a request to a daemon that asked for it.
    Share {
        /// The daemon.
        to: Name,
        /// What it asked.
        question: route::Question,
    },
    /// Whether the balancer should send callers here.
    Health(bool),
    /// Who leads, as far as this daemon knows, has changed.
    Leader(Option<Name>),
    /// The last request is answered after [`Event::Stop`].
    Stopped,
}
