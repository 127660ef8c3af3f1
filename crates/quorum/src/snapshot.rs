use super::*;

/// The replicated state as of a log index, which replaces the entries up to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry included.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership as of that entry.
    pub members: Members,
    /// The encoded state.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}
