use super::*;

/// What may happen to an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// This voter leads, and its table holds everything that was ever committed.
    Lead {
        /// Its term.
        epoch: Epoch,
    },
    /// This voter leads no longer.
    Resign,
    /// An instance has announced itself.
    Announced(Announcement),
    /// A call to an instance has ended.
    InstanceAnswered {
        /// Number of the call.
        id: CallId,
        /// What it brought.
        result: Result<Reply, CallError>,
    },
    /// A call to the platform has ended.
    PlatformAnswered {
        /// Number of the call.
        id: CallId,
        /// What it brought.
        result: Result<MachineReply, CallError>,
    },
    /// A question about leave has ended.
    AdmissionAnswered {
        /// Number of the question.
        id: CallId,
        /// What it brought.
        result: AdmissionResult,
    },
    /// So many questions about leave may be under way at once.
    MaxQueries(usize),
    /// The batch proposed last is committed.
    BatchCommitted(Vec<Outcome>),
    /// Another command is committed.
    CommandCommitted(Vec<Outcome>),
    /// Time has passed.
    Tick,
}
