use super::*;

/// Action that [`State`] requests; carried out in order.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Write a record to disk.
    Persist(quorum::Record),
    /// Send a message once every earlier record is durable; it may be for this daemon itself.
    SendDurable { to: Name, message: Message },
    /// Send a message immediately.
    Send { to: Name, message: Message },
    /// Set a timer.
    Subscribe { timer: Timer, after: Duration },
    /// Answer a call received by this daemon.
    Answer { ticket: CallTicket, answer: Answer },
    /// Send a request to an instance.
    CallInstance {
        call: InstanceCall,
        /// Leader to return the answer to; `None` if this daemon leads.
        origin: Option<Origin>,
    },
    /// Send a request to the platform.
    CallPlatform { id: job::CallId, order: job::MachineOrder, epoch: job::Epoch },
    /// Send an admission query to the platform.
    QueryAdmission {
        id: job::CallId,
        query: job::AdmissionQuery,
        /// Leader to return the answer to; `None` if this daemon leads.
        leader: Option<Name>,
    },
    /// A request to an instance was not sent, since another daemon may lead.
    InstanceCallNotSent { id: job::CallId },
    /// A request to the platform was not sent, since another daemon may lead.
    PlatformCallNotSent { id: job::CallId },
    /// Tell the load balancer whether to send callers here.
    Ready(bool),
    /// Write a log entry.
    Note(Note),
    /// Count an attempt that has ended.
    CountAttemptEnd(job::EndReason),
    /// Count a job that has ended.
    CountJobEnd { queue: Name, end: job::JobState, took: Duration },
    /// Count what happened to a job of an organisation.
    CountOrganisation { label: Name, event: OrganisationEvent },
    /// Replace the metrics about the state of organisations.
    ReportOrganisations(Vec<OrganisationReport>),
    /// Try to open the data folder.
    OpenDisk,
    /// Take no more connections, and close those that are idle.
    Drain,
}
