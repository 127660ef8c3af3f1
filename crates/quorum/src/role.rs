use super::*;

/// Part of a member in the agreement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Counts in majorities.
    Voter,
    /// Receives the log without a vote.
    Observer,
}
