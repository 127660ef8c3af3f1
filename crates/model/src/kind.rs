use super::*;

/// Kind of request, such as a payout or a quote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kind {
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Value of an answer within the deadline, relative to other kinds.
    pub weight: u32,
    /// Time within which the caller needs the answer.
    pub deadline: Duration,
}
