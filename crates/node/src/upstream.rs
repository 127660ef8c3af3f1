//! What upstreams ask of a daemon, and what they are told.

use super::*;

/// An upstream's call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// It is there, or is another than before.
    Announce(Announcement),
    /// It is still there.
    Renew {
        /// Instance that calls.
        instance: Name,
        /// Start of the instance.
        incarnation: u64,
    },
    /// It takes no new work.
    Leave {
        /// Instance that calls.
        instance: Name,
        /// Start of the instance.
        incarnation: u64,
    },
}

/// Reply to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum Reply {
    /// The fleet knows.
    Done,
    /// The fleet does not know this start of the instance; it must announce itself.
    NotAnnounced,
    /// No majority has answered in time.
    Unknown,
}
