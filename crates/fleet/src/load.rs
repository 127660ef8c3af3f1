use super::*;

/// Demand that a pool sees.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run or wait for a slot.
    pub demand: u32,
    /// Requests that the instances of the pool can run at once.
    pub slots: u32,
}
