use super::*;

/// Commands that change the fleet, each idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An operator wants another configuration.
    Change(Change),
    /// An upstream is there.
    Announce(Announcement),
    /// An upstream leaves; its requests in flight complete.
    Leave {
        /// Instance that leaves.
        instance: Name,
        /// Start of the instance that is meant.
        incarnation: u64,
    },
    /// An upstream was not heard within its lease.
    Lapse {
        /// Instance whose lease has run out.
        instance: Name,
        /// Start of the instance that is meant.
        incarnation: u64,
    },
}
