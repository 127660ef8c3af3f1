use super::*;

/// State that must be durable before a member answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Current term, and the vote given in it.
    Vote {
        /// Highest term seen.
        term: Term,
        /// Member voted for in that term.
        vote: Option<Name>,
    },
    /// Entries from index `first` on; they replace any existing entries from that index on.
    Entries {
        /// Index of the first entry.
        first: Index,
        /// Consecutive entries.
        entries: Vec<Entry>,
    },
    /// A snapshot and all entries after it; they replace all earlier records of entries and
    /// snapshots.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Entries after the snapshot.
        entries: Vec<Entry>,
    },
    /// Part in the founding of a fleet; replaces the earlier one. Not needed any more once the log
    /// has entries.
    Founding(Founding),
}
