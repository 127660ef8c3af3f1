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
    Answered {
        /// Number of the call.
        id: CallId,
        /// What it brought.
        result: Result<Reply, Failure>,
    },
    /// A call to the platform has ended.
    MachineAnswered {
        /// Number of the call.
        id: CallId,
        /// What it brought.
        result: Result<MachineReply, Failure>,
    },
    /// A question about leave has ended.
    Decided {
        /// Number of the question.
        id: CallId,
        /// What it brought.
        result: Decided,
    },
    /// So many questions about leave may be under way at once.
    Askers(usize),
    /// The batch proposed last is committed.
    Settled(Vec<Outcome>),
    /// Another command is committed.
    Committed(Vec<Outcome>),
    /// Time has passed.
    Tick,
}
