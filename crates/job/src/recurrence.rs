use super::*;

/// When the rounds of a recurring job are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// When the first round is due.
    pub first: UnixMs,
    /// Between two rounds.
    pub interval: Duration,
    /// How many rounds.
    pub count: u32,
}
