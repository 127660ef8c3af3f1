use super::*;

/// Part of a member in the agreement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Counts in majorities.
    #[display("voter")]
    Voter,
    /// Receives the log without a vote.
    #[display("observer")]
    Observer,
}
