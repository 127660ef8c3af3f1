use super::*;

/// Answer of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request was carried out.
    Done {
        /// Clock of the instance.
        clock: InstanceMs,
    },
    /// Report of running and ended attempts.
    Report {
        /// Clock of the instance.
        clock: InstanceMs,
        /// Start time of the incarnation, if reported.
        born: Option<UnixMs>,
        /// Running attempts.
        running: Vec<RunningAttempt>,
        /// Ended attempts that were not acknowledged, in order.
        ended: Vec<EndedAttempt>,
    },
    /// The instance has seen a higher epoch.
    Fenced,
    /// The instance has stopped this attempt or a later one, or has seen its end.
    StaleAttempt {
        /// Clock of the instance.
        clock: InstanceMs,
    },
    /// The lease expired before the request arrived.
    LeaseExpired {
        /// Clock of the instance.
        clock: InstanceMs,
    },
    /// The instance has too few free resources for the task.
    NoCapacity {
        /// Clock of the instance.
        clock: InstanceMs,
    },
    /// The ticket is missing or no longer valid.
    InvalidTicket {
        /// Clock of the instance.
        clock: InstanceMs,
    },
    /// The instance is unhealthy and did not carry out the request.
    Unavailable,
    /// The address belongs to another instance or incarnation.
    OtherIncarnation,
    /// The instance could not parse the request.
    Invalid,
}

/// A running attempt, as reported by its instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// Last checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
    /// Percentage of the work done; 100 for a continuous task that is available.
    pub percent: u8,
    /// Measured over the last half second: tail of the response times in milliseconds for a task
    /// that serves users, otherwise the processor usage in millicores.
    pub gauge: u32,
}

/// An ended attempt, as reported by its instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedAttempt {
    /// Sequence number of the end, counted by the incarnation.
    pub sequence: u64,
    /// The task; `None` if it belongs to another system.
    pub task: Option<TaskId>,
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// Why it ended.
    pub reason: EndReason,
    /// Last checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
}

/// Reason for a missing answer; the request may still be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum CallError {
    /// The answer did not arrive in time.
    #[display("no answer in time")]
    Timeout,
    /// The connection failed.
    #[display("connection broke")]
    Broken,
    /// The answer could not be parsed.
    #[display("unreadable answer")]
    Unreadable,
    /// No connection could be made, so the request was not sent.
    #[display("connection refused")]
    Refused,
}

/// Answer of the platform to a [`MachineOrder`]. The variants are printed in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineReply {
    /// A page of machines.
    Listed {
        /// The machines.
        machines: Vec<Machine>,
        /// Token of the next page; `None` after the last one.
        next: Option<String>,
    },
    /// The order is being carried out, or has been.
    Begun,
    /// The platform has seen a higher epoch.
    Fenced,
    /// The machine is not up, or is leaving its pool.
    Busy,
    /// The machine does not belong to the wave.
    NotOfWave,
    /// The machine does not exist, or cannot run in the pool.
    Unknown,
    /// The platform is overloaded or unhealthy.
    TryLater,
}
