use super::*;

/// What the platform is asked to do with a task. Each may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    /// Run it, from its last checkpoint where there is one.
    Start {
        /// What is held for it.
        reserve: Resources,
    },
    /// Keep its work, then stop it.
    Checkpoint,
    /// Stop it.
    Stop,
    /// Let it use so much and no more.
    Throttle {
        /// Thousandths of a processor.
        millicores: u64,
    },
}
