use super::*;

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Encoded command; empty in the first entry of a term and in membership changes.
    #[serde(with = "serde_bytes")]
    pub command: Vec<u8>,
    /// The membership from this entry on, if the entry changes it.
    pub members: Option<Members>,
}
