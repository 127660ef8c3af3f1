use super::*;

/// Where a task stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It waits to be started.
    #[default]
    Waiting,
    /// An attempt was given to an instance, and has no end yet.
    Claimed(Incarnation),
    /// It is done.
    Done,
}
