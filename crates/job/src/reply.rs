use super::*;

/// What an instance answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It did as it was told.
    Done {
        /// Its clock.
        clock: ClockMs,
    },
    /// It says what runs and what has ended.
    Report {
        /// Its clock.
        clock: ClockMs,
        /// When its present life started, where it says so.
        born: Option<UnixMs>,
        /// What runs.
        running: Vec<RunningAttempt>,
        /// Ends that were not acknowledged, in order.
        ended: Vec<EndedAttempt>,
    },
    /// It has seen a higher epoch.
    Fenced,
    /// It has stopped or seen the end of this attempt or a later one.
    StaleAttempt {
        /// Its clock.
        clock: ClockMs,
    },
    /// The lease ended before the order arrived.
    LeaseExpired {
        /// Its clock.
        clock: ClockMs,
    },
    /// The task does not fit.
    NoCapacity {
        /// Its clock.
        clock: ClockMs,
    },
    /// The ticket is missing or holds no more.
    InvalidTicket {
        /// Its clock.
        clock: ClockMs,
    },
    /// It is unwell and has done nothing.
    Unavailable,
    /// Another life, or another instance, has this address.
    OtherIncarnation,
    /// It could not make sense of the order.
    Invalid,
}

/// A task that runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningAttempt {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Share of its work done; 100 for a lasting task that is at work.
    pub percent: u8,
    /// Tail of its response times in milliseconds where it serves users, else processor in use in
    /// thousandths of a core; over the last half second.
    pub gauge: u32,
}

/// An attempt that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedAttempt {
    /// Number of the end on this life of the instance.
    pub sequence: u64,
    /// The task; `None` for one that is not ours.
    pub task: Option<TaskId>,
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// How it ended.
    pub reason: EndReason,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// Why no answer came; the call may still be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum CallError {
    /// No answer in time.
    #[display("no answer in time")]
    Timeout,
    /// The connection broke.
    #[display("connection broke")]
    Broken,
    /// An answer that cannot be read.
    #[display("unreadable answer")]
    Unreadable,
}

/// What the platform answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineReply {
    /// A page of machines.
    Listed {
        /// The machines.
        machines: Vec<Machine>,
        /// Where the next page begins.
        next: Option<String>,
    },
    /// It has begun, or had.
    Begun,
    /// A higher epoch was used.
    Fenced,
    /// The machine is not up, or leaves.
    Busy,
    /// The machine is not of that wave.
    NotOfWave,
    /// No such machine, or a pool of other machines.
    Unknown,
    /// Too many calls, or the platform is unwell.
    TryLater,
}
