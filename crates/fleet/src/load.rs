use super::*;

/// Demand on a pool and its capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that are running or waiting for a slot.
    pub demand: u32,
    /// Requests that the pool's instances can run at the same time.
    pub slots: u32,
}
