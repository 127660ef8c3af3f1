use super::*;

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Encoded command; empty in the entry that opens a term.
    #[serde(with = "serde_bytes")]
    pub command: Vec<u8>,
}
