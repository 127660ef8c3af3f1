use super::*;

/// The most recent decisions with their reasons.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    next: u64,
    entries: VecDeque<Entry>,
}

impl Journal {
    /// Maximum number of entries kept.
    pub const MAX: usize = 4096;

    /// Adds a decision, and drops the oldest if there are more than [`Self::MAX`].
    pub fn add(&mut self, at: Time, subjects: Vec<Subject>, reason: Reason) {
        self.next += 1;
        self.entries.push_back(Entry { number: self.next, at, subjects, reason });
        if self.entries.len() > Self::MAX {
            self.entries.pop_front();
        }
    }

    /// The entries, oldest first.
    pub fn entries(&self) -> &VecDeque<Entry> {
        &self.entries
    }

    /// The entries about `subject`, oldest first.
    pub fn entries_for(&self, subject: &Subject) -> Vec<Entry> {
        let about = self.entries.iter().filter(|entry| entry.subjects.contains(subject));
        about.cloned().collect()
    }
}
