use super::*;

/// Persistent state of a member, as read from disk at start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Identity of the disk.
    pub disk: Option<DiskId>,
    /// Current term.
    pub term: Term,
    /// Member voted for in that term.
    pub vote: Option<Name>,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, or from index 1 on if there is none.
    pub entries: Vec<Entry>,
    /// Part in the founding of the fleet, on a daemon that took one.
    pub founding: Option<Founding>,
}

impl PersistentState {
    /// Replays a record; records must be replayed in the order in which they were written.
    pub fn apply_record(&mut self, record: Record) {
        match record {
            Record::Vote { term, vote } => (self.term, self.vote) = (term, vote),
            Record::Entries { first, entries } => {
                self.entries.truncate((first - self.offset() - 1) as usize);
                self.entries.extend(entries);
            }
            Record::Snapshot { snapshot, entries } => {
                self.snapshot = Some(snapshot);
                self.entries = entries;
            }
            Record::Founding(founding) => self.founding = Some(founding),
        }
    }

    fn offset(&self) -> Index {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }
}
