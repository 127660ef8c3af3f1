use super::*;

/// Everything that may happen to the daemon.
#[derive(Debug)]
pub(crate) enum Event {
    Start,
    Timer(Timer),
    /// A peer sent a message.
    Peer {
        from: Name,
        message: Message,
    },
    /// Everything up to this entry is on disk.
    Synced {
        term: quorum::Term,
        index: Index,
    },
    /// A call came to an edge of this daemon.
    Call {
        ticket: Ticket,
        call: Call,
        patience: Duration,
    },
    /// A call to an instance has ended.
    Answered {
        id: job::CallId,
        result: Result<job::Reply, job::Failure>,
    },
    /// A call to the platform has ended.
    MachineAnswered {
        id: job::CallId,
        result: Result<job::MachineReply, job::Failure>,
    },
    /// A question to the policy of a queue has ended.
    Decided {
        id: job::CallId,
        result: job::Decided,
        /// Leader that it was asked for; `None` where this daemon is the leader.
        leader: Option<Name>,
    },
    /// The data folder failed.
    DiskLost,
    /// The data folder was opened.
    DiskFound {
        restored: Box<quorum::PersistentState>,
        boot: u64,
    },
    /// The process is to stop.
    Stop,
}
