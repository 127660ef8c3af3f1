use super::*;

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The request now holds the key and may run.
    Granted,
    /// The same request was sent before; the claim is that of the first send.
    Taken(Claim),
    /// The key is held by a different request.
    Mismatch(Reason),
    /// The maximum number of claims is reached.
    Full,
}
