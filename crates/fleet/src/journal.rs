use super::*;

/// The latest decisions with their reasons.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    next: u64,
    entries: VecDeque<Entry>,
}

impl Journal {
    /// Entries that are kept.
    pub const MAX: usize = 4096;

    /// Adds a decision, and forgets the oldest where there are too many.
    pub fn add(&mut self, at: Time, subjects: Vec<Subject>, reason: Reason) {
        self.next += 1;
        self.entries.push_back(Entry { number: self.next, at, subjects, reason });
        if self.entries.len() > Self::MAX {
            self.entries.pop_front();
        }
    }

    /// Every entry that is kept, the oldest first.
    pub fn entries(&self) -> &VecDeque<Entry> {
        &self.entries
    }

    /// Entries about `subject`, the oldest first.
    pub fn entries_for(&self, subject: &Subject) -> Vec<Entry> {
        let about = self.entries.iter().filter(|entry| entry.subjects.contains(subject));
        about.cloned().collect()
    }
}
