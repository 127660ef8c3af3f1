use super::*;

/// Where a job that has not ended stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It waits for a place.
    Waiting,
    /// No worker could ever run it.
    Never,
    /// It has a place.
    Placed(Placement),
}
