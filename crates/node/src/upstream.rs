//! Calls of upstreams and the replies to them.

use super::*;

/// A call from an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Registers an instance, or updates its registration.
    Announce(Announcement),
    /// Renews the lease of an instance.
    Renew {
        /// The calling instance.
        instance: Name,
        /// Incarnation (start) of the instance.
        incarnation: u64,
    },
    /// Deregisters an instance, which takes no new work.
    Leave {
        /// The calling instance.
        instance: Name,
        /// Incarnation (start) of the instance.
        incarnation: u64,
    },
}

/// Reply to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// The call was applied; a renewal was accepted, and will reach the leader.
    Done,
    /// This incarnation of the instance is not registered; it must announce itself.
    NotAnnounced,
    /// The outcome is unknown, since no majority answered in time.
    Unknown,
}
