use super::*;

/// What a member finds on its disk at start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restored {
    /// Highest term seen.
    pub term: Term,
    /// Member voted for in that term.
    pub vote: Option<Name>,
    /// Entries from index 1 on.
    pub entries: Vec<Entry>,
}
