/// What may happen to the world.
#[derive(Debug, Clone)]
pub enum Step {
    /// A team submits a job, maybe again.
    Submit { job: u8, kind: u8 },
    /// A wave of cancellations, of unknown jobs too.
    Cancel { from: u8, count: u8 },
    /// Time passes.
    Wait { ticks: u8 },
    /// A rack is cut off from the platform; its tasks run on until their leases are over.
    LoseRack { rack: u8 },
    /// Every rack is back.
    Restore,
    /// A worker fails everything from here on.
    Spoil { worker: u8 },
    /// The planner is lost, and another starts from the replicated state.
    ChangeLeader,
    /// How much is lost, doubled and delayed.
    Weather { loss: u8, delay_ms: u16 },
    /// A running task ends.
    Finish { nth: u8, well: bool },
}
