use super::*;

/// Messages between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Agreement.
    Quorum(quorum::Message),
    /// A daemon with an empty disk would found the fleet.
    Found,
    /// Answers `Found`: whom the sender has chosen to found it.
    Founder(Name),
    /// A daemon with a disk takes no part in the agreement yet.
    Join,
    /// A call for whoever leads.
    Ask {
        /// Number at the sender.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// The answer to a call.
    Answer {
        /// Number at the receiver.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// The sender does not lead, and has done nothing about a call.
    Elsewhere {
        /// Number at the receiver.
        ticket: Ticket,
        /// Who leads, as far as the sender knows.
        leader: Option<Name>,
    },
    /// Asks who leads.
    Ping,
    /// Answers `Ping`.
    Pong {
        /// Who leads, as far as the sender knows.
        leader: Option<Name>,
        /// Every member of the agreement, as far as the sender knows.
        members: Vec<Name>,
        /// Whether the sender leads for certain, and has a configuration.
        serves: bool,
    },
    /// Asks the platform for the leader.
    AdmissionQuery {
        /// Number at the leader.
        id: job::CallId,
        /// What to ask.
        query: job::AdmissionQuery,
    },
    /// Answers `Question`.
    Decided {
        /// Number at the leader.
        id: job::CallId,
        /// What it brought.
        result: job::AdmissionResult,
    },
    /// What an instance has said of itself, for voters that may lead later.
    Heard(job::Announcement),
}
