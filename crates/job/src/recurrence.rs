use super::*;

/// Schedule of a recurring job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Recurrence {
    /// When the first round is due.
    pub first: UnixMs,
    /// Time between two rounds.
    pub interval: Duration,
    /// Number of rounds.
    pub count: u32,
}
