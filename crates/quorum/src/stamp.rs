use super::*;

/// Timestamp of a member's clock, which restarts with the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Identifies the start of the process.
    pub boot: u64,
    /// Time since that start.
    pub at: Time,
}
