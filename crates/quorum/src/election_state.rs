use super::*;

/// Raft state of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ElectionState {
    /// Follows a leader, or waits for one to appear.
    Follower,
    /// Runs a pre-vote.
    PreCandidate {
        /// Voters that would grant their vote, itself included, with their disks.
        votes: BTreeMap<Name, DiskId>,
    },
    /// Runs an election.
    Candidate {
        /// Voters that granted their vote, itself included, with their disks.
        votes: BTreeMap<Name, DiskId>,
    },
    /// Leads the current term.
    Leader {
        /// Index of the entry that the leader appended at the start of its term.
        term_start: Index,
        /// Replication progress of all other members.
        progress: BTreeMap<Name, Progress>,
    },
}
