use super::*;

/// Everything that the daemon may want done, in order.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Make a record durable.
    Persist(quorum::Record),
    /// Send a message once every record before it is durable.
    SendDurable { to: Name, message: Message },
    /// Send a message at once.
    Send { to: Name, message: Message },
    /// Call back after a time.
    Subscribe { timer: Timer, after: Duration },
    /// Answer a call of an edge.
    Answer { ticket: Ticket, answer: Answer },
    /// Call an instance.
    CallInstance {
        id: job::CallId,
        incarnation: job::Incarnation,
        address: Name,
        order: job::Order,
        epoch: job::Epoch,
        timeout: Duration,
    },
    /// Call the platform.
    CallPlatform { id: job::CallId, order: job::MachineOrder, epoch: job::Epoch },
    /// Ask the policy of a queue.
    QueryAdmission {
        id: job::CallId,
        query: job::AdmissionQuery,
        /// Leader that it is asked for; `None` where this daemon is the leader.
        leader: Option<Name>,
    },
    /// A call to an instance was not sent, since another daemon may lead.
    Unsent { id: job::CallId },
    /// A call to the platform was not sent, since another daemon may lead.
    UnsentMachine { id: job::CallId },
    /// Whether the balancer should send callers here.
    Ready(bool),
    /// A line for whoever explains a failure.
    Note(Note),
    /// An attempt has ended.
    Ended(job::EndReason),
    /// A job has ended.
    Finished { queue: Name, end: job::JobState, took: Duration },
    /// Try to open the data folder.
    OpenDisk,
    /// Nothing is left to do before the process ends.
    Stopped,
}
