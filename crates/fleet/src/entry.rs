use super::*;

/// A decision in the journal, with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Sequence number in the journal, counted from 1.
    pub number: u64,
    /// Fleet time of the decision.
    pub at: Time,
    /// What the decision is about.
    pub subjects: Vec<Subject>,
    /// The decision and its reason.
    pub reason: Reason,
}
