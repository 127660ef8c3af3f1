use super::*;

/// Messages between daemons. Encoded by position: new variants go to the end.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Message of the consensus protocol.
    Quorum(quorum::Message),
    /// The sender has an empty disk and offers to start the log.
    FounderOffer,
    /// Answer to `FounderOffer`: the daemon that the sender votes for.
    FounderVote(Name),
    /// The sender has a disk and asks to become a member.
    Join,
    /// Forwards a call to the leader.
    Forward {
        /// Id of the call at the sender.
        ticket: CallTicket,
        /// The call.
        call: Call,
        /// When the sender gives the call up, on the clock of the receiver; `None` if the sender
        /// does not know that clock.
        deadline: Option<Reading>,
    },
    /// Answer to a forwarded call.
    Answer {
        /// Id of the call at the receiver.
        ticket: CallTicket,
        /// The answer.
        answer: Answer,
    },
    /// The sender does not lead and has not carried out a forwarded call.
    NotLeader {
        /// Id of the call at the receiver.
        ticket: CallTicket,
        /// The leader, as far as the sender knows.
        leader: Option<Name>,
    },
    /// Asks for the leader.
    Ping {
        /// Data centre of the sender.
        data_center: Name,
        /// Clock of the sender.
        clock: Reading,
    },
    /// Answer to `Ping`; members also send it to the seeds unasked.
    Pong {
        /// The leader, as far as the sender knows.
        leader: Option<Name>,
        /// Members of the quorum, as far as the sender knows.
        members: Vec<Name>,
        /// Whether the sender is the confirmed leader and has a configuration.
        serves: bool,
        /// Whether so many daemons ask that each should ask less often.
        large_fleet: bool,
        /// How long the leader wants results of orders to be held, so that they share frames.
        order_hold: Duration,
        /// Clock of the sender.
        clock: Reading,
    },
    /// Asks the receiver to send an admission query to the platform.
    AdmissionQuery {
        /// Id of the query at the leader.
        id: job::CallId,
        /// The query.
        query: job::AdmissionQuery,
    },
    /// Answer to `AdmissionQuery`.
    AdmissionAnswer {
        /// Id of the query at the leader.
        id: job::CallId,
        /// Answer of the platform.
        result: job::AdmissionResult,
    },
    /// Announcement of an instance, for members that may lead later.
    Announced(job::Announcement),
    /// The sender has not carried out a forwarded call, since its deadline is missing or is that of
    /// an earlier process.
    ClockUnknown {
        /// Id of the call at the receiver.
        ticket: CallTicket,
        /// Clock of the sender.
        clock: Reading,
    },
    /// Asks the receiver to send an order of the leader to an instance.
    Order {
        /// Process of the leader; its ids start anew with each process.
        boot: u64,
        /// The order.
        call: InstanceCall,
        /// When the leader gives the order up, on the clock of the receiver. An order that is late
        /// is not sent, since it could reach a later incarnation of the instance.
        deadline: Reading,
    },
    /// Result of an `Order`.
    OrderResult {
        /// Id of the order at the leader.
        id: job::CallId,
        /// Process of the leader.
        boot: u64,
        /// Answer of the instance.
        result: Result<job::Reply, job::CallError>,
    },
}

/// Leader that a carried order belongs to, and the process of the leader.
pub(crate) type Origin = (Name, u64);
