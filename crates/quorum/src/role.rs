use super::*;

/// Role of a member in the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Votes and counts towards majorities.
    #[display("voter")]
    Voter,
    /// Receives the log but has no vote (a Raft learner).
    #[display("observer")]
    Observer,
}
