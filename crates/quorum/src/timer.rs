use super::*;

/// Timers of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timer {
    /// No message from a leader within the election timeout.
    Election,
    /// The leader's next heartbeat is due.
    Heartbeat,
}
