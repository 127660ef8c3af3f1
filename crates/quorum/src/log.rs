use super::*;

/// The in-memory part of the log. Entries up to `offset` have been compacted into a snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Log {
    offset: Index,
    /// Term of the entry at `offset`.
    offset_term: Term,
    /// Membership as of `offset`, and the index of the entry that set it.
    offset_members: Option<(Index, Members)>,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Upper bound of the encoded size of an entry apart from its command.
    pub const ENTRY_OVERHEAD_BYTES: usize = 16;

    /// Creates a log with the entries after `snapshot`, or from index 1 on without one.
    pub fn new(snapshot: Option<&Snapshot>, entries: Vec<Entry>) -> Self {
        let entries = entries.into();
        let Some(snapshot) = snapshot else { return Self { entries, ..Self::default() } };
        let (offset, offset_term) = (snapshot.index, snapshot.term);
        let offset_members = Some((offset, snapshot.members.clone()));
        Self { offset, offset_term, offset_members, entries }
    }

    /// Membership as of the last entry, and the index of the entry that set it.
    pub fn members(&self) -> Option<(Index, &Members)> {
        self.members_at(self.last_index())
    }

    /// Membership as of `index`, and the index of the entry that set it.
    pub fn members_at(&self, index: Index) -> Option<(Index, &Members)> {
        let changes = (self.offset + 1..=index).rev();
        let mut changes = changes.filter_map(|at| Some((at, self.get(at)?.members.as_ref()?)));
        changes.next().or(self.offset_members.as_ref().map(|(at, members)| (*at, members)))
    }

    /// Index of the last compacted entry.
    pub fn offset(&self) -> Index {
        self.offset
    }

    /// Index of the last entry; 0 if the log is empty.
    pub fn last_index(&self) -> Index {
        self.offset + self.entries.len() as Index
    }

    /// Term of the last entry; 0 if the log is empty.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.offset_term, |entry| entry.term)
    }

    /// The entry at `index`, if it is in memory.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.offset + 1)? as usize)
    }

    /// Term of the entry at `index`, if known; 0 for index 0.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.offset {
            return Some(self.offset_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Index just before the first entry that has the same term as the entry at `index`.
    pub fn index_before_term(&self, index: Index) -> Index {
        let term = self.term(index);
        let before = (self.offset..index).rev().find(|before| self.term(*before) != term);
        before.unwrap_or(self.offset)
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all later ones.
    pub fn truncate(&mut self, index: Index) {
        self.entries.truncate(index.saturating_sub(self.offset + 1) as usize);
    }

    /// Removes the entries up to and including `index`, which a snapshot covers.
    pub fn compact(&mut self, index: Index) {
        let Some(term) = self.term(index) else { return };
        let members = self.members_at(index);
        self.offset_members = members.map(|(at, members)| (at, members.clone()));
        self.entries.drain(..(index - self.offset) as usize);
        (self.offset, self.offset_term) = (index, term);
    }

    /// Index before the first of the entries up to `index` that are kept, given their maximum number
    /// and size in bytes.
    pub fn start_of_tail(&self, index: Index, max_entries: u64, max_bytes: usize) -> Index {
        let mut bytes = 0;
        let first = index.saturating_sub(max_entries).max(self.offset);
        let too_large = |at: &Index| {
            bytes += self.get(*at).map_or(0, |entry| entry.command.len());
            bytes > max_bytes
        };
        (first + 1..=index).rev().find(too_large).unwrap_or(first)
    }

    /// Entries from index `first` on.
    pub fn entries_from(&self, first: Index) -> impl Iterator<Item = &Entry> {
        self.entries.iter().skip(first.saturating_sub(self.offset + 1) as usize)
    }

    /// Entries from index `first` on, limited to `max_bytes` but at least one.
    pub fn slice(&self, first: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.entries_from(first) {
            bytes += entry.command.len() + Self::ENTRY_OVERHEAD_BYTES;
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }
}
