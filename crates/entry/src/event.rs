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
    InstanceAnswered {
        id: job::CallId,
        result: Result<job::Reply, job::CallError>,
    },
    /// A call to the platform has ended.
    PlatformAnswered {
        id: job::CallId,
        result: Result<job::MachineReply, job::CallError>,
    },
    /// A question to the policy of a queue has ended.
    AdmissionAnswered {
        id: job::CallId,
        result: job::AdmissionResult,
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
