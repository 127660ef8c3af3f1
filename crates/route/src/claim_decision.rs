use super::*;

/// What the log decided on an attempt to claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimDecision {
    /// The claim as it was asked for.
    pub claim: Claim,
    /// What became of it.
    pub result: ClaimResult,
}
