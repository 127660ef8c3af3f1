use super::*;

/// Identifies a question about the outcome of a request, asked on behalf of a resend of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Number of the resend at the daemon that asks.
    pub resend: RequestId,
    /// Boot id of the daemon that asks.
    pub asker_boot: u64,
    /// Number of the first request at the daemon that holds the claim.
    pub first: RequestId,
    /// Boot id of that daemon when the claim was made.
    pub holder_boot: u64,
}
