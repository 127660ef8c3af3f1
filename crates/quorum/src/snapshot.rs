use super::*;

/// What the entries up to an index determine, in place of these entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it holds.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members after that entry.
    pub members: Members,
    /// Encoded state.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}
