use super::*;

/// Input of the [`Scheduler`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// This daemon became leader, and its table contains every committed command.
    Lead {
        /// Term of the leader.
        epoch: Epoch,
        /// This daemon.
        leader: Leader,
    },
    /// A former leader has restarted, so it sends no orders any more.
    FormerLeaderEnded(Leader),
    /// This daemon no longer leads.
    Resign,
    /// An instance announced itself.
    Announced(Announcement),
    /// A request to an instance was answered or failed.
    InstanceAnswered {
        /// Id of the request.
        id: CallId,
        /// Answer of the instance.
        result: Result<Reply, CallError>,
    },
    /// A request to the platform was answered or failed.
    PlatformAnswered {
        /// Id of the request.
        id: CallId,
        /// Answer of the platform.
        result: Result<MachineReply, CallError>,
    },
    /// An admission query was answered or failed.
    AdmissionAnswered {
        /// Id of the query.
        id: CallId,
        /// Answer of the platform.
        result: AdmissionResult,
    },
    /// Sets how many admission queries may be in flight.
    MaxQueries(usize),
    /// The proposed batch was committed.
    BatchCommitted(Vec<Outcome>),
    /// Another command was committed.
    CommandCommitted(Vec<Outcome>),
    /// Time has passed.
    Tick,
}
