use super::*;

/// Ids of jobs that were cancelled before their submission arrived, so that the submission is
/// refused. The oldest are dropped first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstones {
    ids: BTreeSet<Name>,
    order: VecDeque<Name>,
}

impl Tombstones {
    /// Maximum number of ids kept.
    pub const MAX: usize = 10_000;

    /// Whether the job `id` was cancelled before it was submitted.
    pub fn contains(&self, id: &Name) -> bool {
        self.ids.contains(id)
    }

    pub(crate) fn insert(&mut self, id: Name) {
        if !self.ids.insert(id.clone()) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > Self::MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }
}
