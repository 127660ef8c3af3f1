use {super::*, wire::Class};

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
        /// Id of the query at the leader, plus the random number of its process: an answer to a
        /// query of an earlier process then has no query there.
        id: job::CallId,
        /// The query.
        query: job::AdmissionQuery,
    },
    /// Answer to `AdmissionQuery`.
    AdmissionAnswer {
        /// Id of the query, as in `AdmissionQuery`.
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
    /// The process of the sender, a member, is about to end.
    Leaving {
        /// The run of the process.
        boot: u64,
    },
}

impl Message {
    /// Maximum size of the contents of an urgent message, in bytes.
    const MAX_URGENT_BYTES: usize = 8 * 1024;

    /// Class to send it in to a daemon whose log is known to match that of this one up to `matched`.
    /// Entries that follow others on their way stay behind them: the receiver would reject them, and
    /// get all of them again.
    pub(crate) fn class(&self, matched: Index) -> Class {
        match self {
            Self::Quorum(quorum::Message::Append { prev_index, .. }) if *prev_index > matched => {
                Class::Bulk
            }
            message if message.is_large() => Class::Bulk,
            _ => Class::Urgent,
        }
    }

    /// Whether it delays messages that follow it.
    pub(crate) fn is_large(&self) -> bool {
        self.content_bytes() > Self::MAX_URGENT_BYTES
    }

    /// Size of what can be large in it, in bytes.
    fn content_bytes(&self) -> usize {
        match self {
            Self::Quorum(quorum::Message::Append { entries, .. }) => {
                entries.iter().map(|entry| entry.command.len()).sum()
            }
            Self::Quorum(quorum::Message::Chunk { data, .. }) => data.len(),
            Self::Forward { call: Call::Publish(document), .. } => document.text.len(),
            Self::Forward { call: Call::Submit { spec: Ok(spec), .. }, .. } => spec.payload.len(),
            Self::Answer { answer: Answer::Config(text), .. } => text.len(),
            Self::Order {
                call: InstanceCall { order: job::Order::Start { payload, .. }, .. },
                ..
            } => payload.len(),
            _ => 0,
        }
    }
}

/// Leader that a carried order belongs to, and the process of the leader.
pub(crate) type Origin = (Name, u64);
