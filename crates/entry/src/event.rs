use super::*;

/// Input of [`State`].
#[derive(Debug)]
pub(crate) enum Event {
    Start,
    Timer(Timer),
    /// A peer sent a message.
    Peer {
        from: Name,
        message: Message,
    },
    /// The log is durable up to this entry.
    Synced {
        term: quorum::Term,
        index: Index,
    },
    /// A client sent a call to this daemon.
    Call {
        ticket: CallTicket,
        call: Call,
        timeout: Duration,
    },
    /// A request to an instance was answered or failed.
    InstanceAnswered {
        id: job::CallId,
        result: Result<job::Reply, job::CallError>,
        /// Leader to return the answer to; `None` if this daemon leads.
        origin: Option<Origin>,
    },
    /// A request to the platform was answered or failed.
    PlatformAnswered {
        id: job::CallId,
        result: Result<job::MachineReply, job::CallError>,
    },
    /// An admission query was answered or failed.
    AdmissionAnswered {
        id: job::CallId,
        result: job::AdmissionResult,
        /// Leader to return the answer to; `None` if this daemon leads.
        leader: Option<Name>,
    },
    /// The data folder could not be opened or written.
    DiskLost,
    /// The data folder was opened.
    DiskOpened {
        restored: Box<quorum::PersistentState>,
        boot: u64,
    },
    /// The settings name other seeds than before.
    SeedsChanged(Vec<Name>),
    /// The process was asked to stop.
    Stop,
}
