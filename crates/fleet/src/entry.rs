use super::*;

/// A decision with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Number in the journal.
    pub number: u64,
    /// Fleet time of the decision.
    pub at: Time,
    /// What it concerns.
    pub subjects: Vec<Subject>,
    /// Why.
    pub reason: Reason,
}
