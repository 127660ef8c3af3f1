use super::*;

/// Input to [`State::reduce`]. Recordings encode events by position, so the order of variants and
/// fields is fixed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The process started.
    Start,
    /// A timer expired.
    Timer(Timer),
    /// A peer sent a message.
    Peer {
        /// Peer, as authenticated by its certificate.
        from: Name,
        /// The message.
        message: Message,
    },
    /// All log entries up to this one are durable.
    Synced {
        /// Term of the entry.
        term: quorum::Term,
        /// Index of the entry.
        index: Index,
    },
    /// A call from an operator.
    Operator {
        /// Identifies the call.
        ticket: Ticket,
        /// The call.
        call: operator::Call,
    },
    /// A call from an upstream.
    Upstream {
        /// Identifies the call.
        ticket: Ticket,
        /// The call.
        call: upstream::Call,
    },
    /// Result of a platform call.
    Platform(platform::Report),
    /// An event about caller requests.
    Route(route::Event),
    /// Request to stop gracefully.
    Stop,
}
