use super::*;

/// What a member finds on its disk at start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Identity of the disk.
    pub disk: Option<DiskId>,
    /// Highest term seen.
    pub term: Term,
    /// Member voted for in that term.
    pub vote: Option<Name>,
    /// Last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, or from index 1 on.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Takes a record that was written later than all before.
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
        }
    }

    fn offset(&self) -> Index {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }
}
