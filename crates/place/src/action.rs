use super::*;

/// Action of a [`Call`] to the platform. Each is idempotent, and may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    /// Runs the task, from its last checkpoint if there is one.
    Start {
        /// Resources reserved for the task.
        reserve: Resources,
    },
    /// Saves a checkpoint of the task, then stops it.
    Checkpoint,
    /// Stops the task without a checkpoint.
    Stop,
    /// Limits the processor time of the task.
    Throttle {
        /// The limit, in thousandths of a processor.
        millicores: u64,
    },
}
