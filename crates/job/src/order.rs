use super::*;

/// A request to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Start an attempt.
    Start {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        number: AttemptNumber,
        /// Payload of the job.
        payload: Arc<str>,
        /// New lease deadline of the instance, on its clock.
        lease: InstanceMs,
        /// Ticket of the permit, if the queue has an admission policy.
        ticket: Option<Name>,
        /// Checkpoint to resume from.
        checkpoint: Option<Arc<str>>,
    },
    /// Stop an attempt, and reject requests to start it from now on.
    Stop {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        number: AttemptNumber,
    },
    /// Extend the lease, drop acknowledged ends, and report running and ended attempts.
    Renew {
        /// New lease deadline of the instance, on its clock; `None` to leave the lease as it is.
        lease: Option<InstanceMs>,
        /// Ends up to this sequence number are committed; 0 to acknowledge none.
        acknowledged: u64,
        /// How long the instance may hold the request open until an attempt ends.
        wait: Duration,
    },
    /// Limit the speed of a best-effort task.
    Throttle {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        number: AttemptNumber,
        /// Percentage of full speed, 0 to 100.
        percent: u8,
    },
}

/// A request to the platform about machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineOrder {
    /// List the machines.
    List {
        /// Page token; `None` for the first page.
        page: Option<String>,
    },
    /// Move a machine to another pool.
    Move {
        /// The machine.
        machine: Name,
        /// Pool to move it to.
        pool: Name,
    },
    /// Start the maintenance of a machine.
    Maintain {
        /// The machine.
        machine: Name,
        /// Wave that the maintenance is part of.
        wave: WaveId,
    },
}
