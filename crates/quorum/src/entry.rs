use super::*;

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Encoded command; empty in the entry that opens a term.
    #[serde(with = "serde_bytes")]
    pub command: Vec<u8>,
    /// Members from this entry on, where they change; the command is empty then.
    pub members: Option<Members>,
}
