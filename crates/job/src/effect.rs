use super::*;

/// What an owner wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Commit what was decided or seen.
    Propose(Batch),
    /// Call an instance.
    CallInstance {
        /// Number of the call.
        id: CallId,
        /// Whom to call; any other refuses.
        incarnation: Incarnation,
        /// Where.
        address: Name,
        /// What to say.
        order: Order,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Call the platform.
    CallPlatform {
        /// Number of the call.
        id: CallId,
        /// What to say.
        order: MachineOrder,
    },
    /// Ask the platform on which instances tasks may run.
    QueryAdmission {
        /// Number of the question.
        id: CallId,
        /// What to ask.
        query: AdmissionQuery,
    },
    /// A line for whoever explains a failure.
    Note(Note),
}

/// A decision worth a line in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// What happened.
    pub what: &'static str,
    /// Task and attempt, instance, machine: whatever it is about.
    pub about: String,
    /// Why.
    pub why: String,
}
