use super::*;

/// A moment by the clock of one start of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Start of the member.
    pub boot: u64,
    /// Time since that start.
    pub at: Time,
}
