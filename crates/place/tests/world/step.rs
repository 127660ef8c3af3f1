/// A step of the simulation.
#[derive(Debug, Clone)]
pub enum Step {
    /// A team submits a job, possibly again. Its properties derive from `kind`.
    Submit { job: u8, kind: u8 },
    /// A team cancels `count` jobs in a row, including ones not submitted yet.
    Cancel { from: u8, count: u8 },
    /// Time passes.
    Wait { ticks: u8 },
    /// The workers of a rack lose contact; their tasks run until their leases expire.
    LoseRack { rack: u8 },
    /// Every rack is in contact again.
    Restore,
    /// Every task started on a worker fails from then on.
    BreakWorker { worker: u8 },
    /// A new leader builds its planner from the replicated state.
    ChangeLeader,
    /// Sets the percentage of messages that are lost, and likewise duplicated, and their maximum
    /// delay.
    Network { loss: u8, delay_ms: u16 },
    /// The running task in position `nth` ends, successfully or not.
    Finish { nth: u8, success: bool },
}
