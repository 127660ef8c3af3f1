use super::*;

/// Everything that may happen to a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The process started.
    Start,
    /// A timer fell due.
    Timer(Timer),
    /// A peer sent a message.
    Peer {
        /// Peer, as its certificate names it.
        from: Name,
        /// What it sent.
        message: Message,
    },
    /// Everything up to this entry is on disk.
    Synced {
        /// Term of the entry.
        term: quorum::Term,
        /// Index of the entry.
        index: Index,
    },
    /// An operator calls.
    Operator {
        /// Number of the call.
        ticket: Ticket,
        /// What is asked.
        call: operator::Call,
    },
    /// An upstream calls.
    Upstream {
        /// Number of the call.
        ticket: Ticket,
        /// What is asked.
        call: upstream::Call,
    },
    /// The platform answered, or did not.
    Platform(platform::Report),
    /// Something happened to a caller's request.
    Route(route::Event),
    /// The process is to stop.
    Stop,
}
