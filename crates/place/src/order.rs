use super::*;

/// What a planner wants done.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
pub enum Order {
    /// Propose a command.
    Propose(Command),
    /// Call the platform about a task.
    Call(Call),
    /// Renew the leases of tasks.
    #[from(ignore)]
    Renew {
        /// Where they run.
        worker: Name,
        /// Epochs of their placements; no other task is renewed.
        epochs: Vec<Epoch>,
    },
}
