use super::*;

/// The most recent configurations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History(VecDeque<Past>);

impl History {
    /// Maximum number of configurations kept.
    pub const MAX: usize = 50;

    /// Adds the latest configuration, and drops the oldest if there are more than [`Self::MAX`].
    pub fn add(&mut self, past: Past) {
        self.0.push_back(past);
        if self.0.len() > Self::MAX {
            self.0.pop_front();
        }
    }

    /// The configurations, oldest first.
    pub fn all(&self) -> &VecDeque<Past> {
        &self.0
    }

    /// The configuration with number `revision`, if it is still kept.
    pub fn get(&self, revision: Revision) -> Option<&Past> {
        self.0.iter().find(|past| past.revision == revision)
    }
}
