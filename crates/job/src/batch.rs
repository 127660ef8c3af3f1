use super::*;

/// What an owner commits at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Attempts that ended; they come first.
    pub ends: Vec<AttemptEnd>,
    /// Attempts that are about to start.
    pub claims: Vec<Claim>,
    /// Machines of waves whose maintenance has begun, or that have left.
    pub maintained: Vec<(WaveId, Name)>,
    /// Orders about machines that are about to be given.
    pub orders: Vec<MachineOrder>,
    /// Machines about which the order given last has its answer.
    pub answered: Vec<Name>,
}

impl Batch {
    /// Whether nothing is to be committed.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
            && self.claims.is_empty()
            && self.maintained.is_empty()
            && self.orders.is_empty()
            && self.answered.is_empty()
    }
}
