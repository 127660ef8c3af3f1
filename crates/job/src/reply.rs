use super::*;

/// What an instance answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It did as it was told.
    Done {
        /// Its clock.
        clock: Clock,
    },
    /// It says what runs and what has ended.
    Report {
        /// Its clock.
        clock: Clock,
        /// When its present life started, where it says so.
        born: Option<Unix>,
        /// What runs.
        running: Vec<Running>,
        /// Ends that were not acknowledged, in order.
        ended: Vec<Ended>,
    },
    /// It has seen a higher epoch.
    Fenced,
    /// It has stopped or seen the end of this attempt or a later one.
    Old {
        /// Its clock.
        clock: Clock,
    },
    /// The lease ended before the order arrived.
    Late {
        /// Its clock.
        clock: Clock,
    },
    /// The task does not fit.
    Full {
        /// Its clock.
        clock: Clock,
    },
    /// The ticket is missing or holds no more.
    NoLeave {
        /// Its clock.
        clock: Clock,
    },
    /// It is unwell and has done nothing.
    Unwell,
    /// Another life, or another instance, has this address.
    OtherIncarnation,
    /// It could not make sense of the order.
    Invalid,
}

/// A task that runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub number: Number,
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
pub struct Ended {
    /// Number of the end on this life of the instance.
    pub sequence: u64,
    /// The task; `None` for one that is not ours.
    pub task: Option<Task>,
    /// Number of the attempt.
    pub number: Number,
    /// How it ended.
    pub how: How,
    /// Last checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// Why no answer came; the call may still be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Failure {
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
