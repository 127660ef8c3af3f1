use super::*;

/// Decisions and observations of the scheduler that are committed together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Attempts that ended; applied before the claims.
    pub ends: Vec<AttemptEnd>,
    /// Attempts that are about to start.
    pub claims: Vec<Claim>,
    /// Machines of waves whose maintenance has begun, or which have left.
    pub maintained: Vec<(WaveId, Name)>,
    /// Machine orders that are about to be sent.
    pub orders: Vec<MachineOrder>,
    /// Machines whose last order has been answered.
    pub answered: Vec<Name>,
}

impl Batch {
    /// Whether there is nothing to commit.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
            && self.claims.is_empty()
            && self.maintained.is_empty()
            && self.orders.is_empty()
            && self.answered.is_empty()
    }
}
