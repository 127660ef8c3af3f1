use super::*;

/// What an instance is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Run a task.
    Start {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        number: AttemptNumber,
        /// Payload of the job.
        payload: Arc<str>,
        /// Until when everything on the instance may run.
        lease: ClockMs,
        /// Leave to run there, where the queue's policy asks for it.
        ticket: Option<Name>,
        /// Where to resume.
        checkpoint: Option<Arc<str>>,
    },
    /// Stop an attempt, and refuse it from now on.
    Stop {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        number: AttemptNumber,
    },
    /// Extend the lease, forget acknowledged ends, and say what runs and what has ended.
    Renew {
        /// Until when everything on the instance may run.
        lease: ClockMs,
        /// Ends up to this number are committed.
        acknowledged: u64,
        /// How long the answer may wait for an end.
        wait: Duration,
    },
    /// Let a filler work at a share of its speed.
    Throttle {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        number: AttemptNumber,
        /// Share, 0 to 100.
        percent: u8,
    },
}

/// What the platform is told of a machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineOrder {
    /// List the machines.
    List {
        /// Where the last page ended.
        page: Option<String>,
    },
    /// Move a machine to a pool.
    Move {
        /// The machine.
        machine: Name,
        /// The pool.
        pool: Name,
    },
    /// Begin the maintenance of a machine.
    Maintain {
        /// The machine.
        machine: Name,
        /// The wave.
        wave: WaveId,
    },
}
