use super::*;

/// What a member is at the moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    Asking {
        /// Voters that would vote for it, itself included.
        votes: BTreeMap<Name, DiskId>,
    },
    /// Asks to be elected.
    Candidate {
        /// Voters that voted for it, itself included.
        votes: BTreeMap<Name, DiskId>,
    },
    /// Leads.
    Leader {
        /// First index of its term.
        opened: Index,
        /// Every other member.
        progress: BTreeMap<Name, Progress>,
    },
}
