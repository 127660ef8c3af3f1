use super::*;

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// It is held from now on.
    Granted,
    /// The same request was claimed before.
    Taken(Claim),
    /// The key was used for another request.
    Mismatch(Reason),
    /// There are too many claims.
    Full,
}
