use super::*;

/// What must be on disk before a member answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Term and vote.
    Vote {
        /// Highest term seen.
        term: Term,
        /// Member voted for in that term.
        vote: Option<Name>,
    },
    /// Entries from `first` on; they replace whatever stood there and after.
    Entries {
        /// Index of the first entry.
        first: Index,
        /// Entries in order.
        entries: Vec<Entry>,
    },
    /// A snapshot with all entries after it; they replace all entries before.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Entries after it, in order.
        entries: Vec<Entry>,
    },
}
