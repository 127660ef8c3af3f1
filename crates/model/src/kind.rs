use super::*;

/// A kind of request, such as a payout or a quote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kind {
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Worth of one answer in time, against other kinds.
    pub weight: u32,
    /// Time within which a caller needs the answer.
    pub deadline: Duration,
}
