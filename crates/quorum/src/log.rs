use super::*;

/// Entries in memory, from index 1 on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Log {
    entries: VecDeque<Entry>,
}

impl Log {
    /// Index of the last entry, 0 where there is none.
    pub fn last_index(&self) -> Index {
        self.entries.len() as Index
    }

    /// Term of the last entry, 0 where there is none.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(0, |entry| entry.term)
    }

    /// The entry at `index`.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(index.checked_sub(1)? as usize)
    }

    /// Term of the entry at `index`; 0 for index 0.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == 0 { Some(0) } else { self.get(index).map(|entry| entry.term) }
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and everything after it.
    pub fn truncate(&mut self, index: Index) {
        self.entries.truncate(index.saturating_sub(1) as usize);
    }

    /// Entries from `first` on, up to `max_bytes` of commands and at least one.
    pub fn slice(&self, first: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.entries.iter().skip(first.saturating_sub(1) as usize) {
            bytes += entry.command.len();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }
}

impl From<Vec<Entry>> for Log {
    fn from(entries: Vec<Entry>) -> Self {
        Self { entries: entries.into() }
    }
}
