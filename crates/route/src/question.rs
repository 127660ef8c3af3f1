use super::*;

/// A resend's question about the first request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Number of the resend at the daemon that asks.
    pub resend: RequestId,
    /// Start of the daemon that asks.
    pub asker_boot: u64,
    /// Number of the first request at the daemon that holds the claim.
    pub first: RequestId,
    /// Start of that daemon under which the claim was made.
    pub holder_boot: u64,
}
