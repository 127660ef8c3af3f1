use super::*;

/// Result of a proposed claim, decided when the log applied it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimDecision {
    /// The claim as proposed.
    pub claim: Claim,
    /// Whether it was granted.
    pub result: ClaimResult,
}
