use super::*;

/// The latest configurations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History(VecDeque<Past>);

impl History {
    /// Configurations that are kept.
    pub const MAX: usize = 50;

    /// Adds the latest configuration, and forgets the oldest where there are too many.
    pub fn add(&mut self, past: Past) {
        self.0.push_back(past);
        if self.0.len() > Self::MAX {
            self.0.pop_front();
        }
    }

    /// The configurations that are kept, the oldest first.
    pub fn all(&self) -> &VecDeque<Past> {
        &self.0
    }

    /// The configuration numbered `revision`.
    pub fn get(&self, revision: Revision) -> Option<&Past> {
        self.0.iter().find(|past| past.revision == revision)
    }
}
