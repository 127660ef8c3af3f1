use super::*;

/// Identifies a question about the outcome of a request, asked on behalf of a resend of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Number of the resend at the daemon that asks.
    pub resend: RequestId,
    /// Number that identifies the start of the daemon that asks.
    pub asker_boot: u64,
    /// Number of the first request at the daemon that holds the claim.
    pub first: RequestId,
    /// Number that identifies the start of that daemon at which the claim was made.
    pub holder_boot: u64,
}
