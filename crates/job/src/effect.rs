use super::*;

/// Action that the [`Scheduler`] requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Commit a batch.
    Propose(Batch),
    /// Send a request to an instance.
    CallInstance {
        /// Id of the request.
        id: CallId,
        /// Receiver. The request is addressed by name, so a later incarnation may receive it.
        incarnation: Incarnation,
        /// Fencing token of the incarnation.
        token: Token,
        /// Address of the instance.
        address: Name,
        /// The request.
        order: Order,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Send a request to the platform.
    CallPlatform {
        /// Id of the request.
        id: CallId,
        /// The request.
        order: MachineOrder,
    },
    /// Ask the platform on which instances tasks may run.
    QueryAdmission {
        /// Id of the query.
        id: CallId,
        /// The query.
        query: AdmissionQuery,
    },
    /// Write a log entry.
    Note(Note),
}

/// Log entry about a decision of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// Kind of the entry.
    pub what: &'static str,
    /// Subject, such as a task and attempt, an instance or a machine.
    pub about: String,
    /// Reason or details.
    pub why: String,
}
