use super::*;

/// Output of the [`Planner`] for the daemon to carry out.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
pub enum Order {
    /// Proposes a command to the replicated log.
    Propose(Command),
    /// Calls the platform about a task.
    Call(Call),
    /// Renews the leases of tasks on one worker.
    #[from(ignore)]
    Renew {
        /// Worker that the tasks run on.
        worker: Name,
        /// Epochs of the placements to renew; other leases on the worker are left to expire.
        epochs: Vec<Epoch>,
    },
}
