use super::*;

/// Entries in memory; those up to an offset are gone, and a snapshot stands for them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Log {
    offset: Index,
    /// Term of the entry at `offset`.
    offset_term: Term,
    /// Members after the entry at `offset`, and the index of the entry that made them so.
    offset_members: Option<(Index, Members)>,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Bytes that an entry takes besides its command, at most.
    pub const ENTRY_BYTES: usize = 16;

    /// A log that goes on after the entry at `offset`.
    pub fn new(snapshot: Option<&Snapshot>, entries: Vec<Entry>) -> Self {
        let entries = entries.into();
        let Some(snapshot) = snapshot else { return Self { entries, ..Self::default() } };
        let (offset, offset_term) = (snapshot.index, snapshot.term);
        let offset_members = Some((offset, snapshot.members.clone()));
        Self { offset, offset_term, offset_members, entries }
    }

    /// Members after the last entry, and the index of the entry that made them so.
    pub fn members(&self) -> Option<(Index, &Members)> {
        self.members_at(self.last_index())
    }

    /// Members after the entry at `index`, and the index of the entry that made them so.
    pub fn members_at(&self, index: Index) -> Option<(Index, &Members)> {
        let changes = (self.offset + 1..=index).rev();
        let mut changes = changes.filter_map(|at| Some((at, self.get(at)?.members.as_ref()?)));
        changes.next().or(self.offset_members.as_ref().map(|(at, members)| (*at, members)))
    }

    /// Index of the last entry that is gone.
    pub fn offset(&self) -> Index {
        self.offset
    }

    /// Index of the last entry, 0 where there is none.
    pub fn last_index(&self) -> Index {
        self.offset + self.entries.len() as Index
    }

    /// Term of the last entry, 0 where there is none.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.offset_term, |entry| entry.term)
    }

    /// The entry at `index`.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.offset + 1)? as usize)
    }

    /// Term of the entry at `index`; 0 for index 0.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.offset {
            return Some(self.offset_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Index before the first entry of the term that the entry at `index` is of.
    pub fn before_term(&self, index: Index) -> Index {
        let term = self.term(index);
        let before = (self.offset..index).rev().find(|before| self.term(*before) != term);
        before.unwrap_or(self.offset)
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and everything after it.
    pub fn truncate(&mut self, index: Index) {
        self.entries.truncate(index.saturating_sub(self.offset + 1) as usize);
    }

    /// Drops the entries up to `index`.
    pub fn compact(&mut self, index: Index) {
        let Some(term) = self.term(index) else { return };
        let members = self.members_at(index);
        self.offset_members = members.map(|(at, members)| (at, members.clone()));
        self.entries.drain(..(index - self.offset) as usize);
        (self.offset, self.offset_term) = (index, term);
    }

    /// Entries from `first` on.
    pub fn from(&self, first: Index) -> impl Iterator<Item = &Entry> {
        self.entries.iter().skip(first.saturating_sub(self.offset + 1) as usize)
    }

    /// Entries from `first` on, up to `max_bytes` and at least one.
    pub fn slice(&self, first: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.from(first) {
            bytes += entry.command.len() + Self::ENTRY_BYTES;
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }
}
