use super::*;

/// Timers of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timer {
    /// No leader was heard for a while.
    Election,
    /// The leader's next heartbeat is due.
    Heartbeat,
}
