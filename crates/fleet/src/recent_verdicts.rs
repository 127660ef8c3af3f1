use super::*;

/// Verdicts of the most recent requests, so that a resent request gets its first verdict again.
/// The oldest are dropped first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentVerdicts {
    verdicts: BTreeMap<Name, Verdict>,
    order: VecDeque<Name>,
}

impl RecentVerdicts {
    /// Maximum number of verdicts kept: more than three days of changes at the planned fleet size.
    pub const MAX: usize = 10_000;

    /// The verdict of `request`, if it is still kept.
    pub fn get(&self, request: &Name) -> Option<&Verdict> {
        self.verdicts.get(request)
    }

    /// Stores the verdict of `request`.
    pub fn insert(&mut self, request: Name, verdict: Verdict) {
        self.order.push_back(request.clone());
        self.verdicts.insert(request, verdict);
        if self.order.len() > Self::MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
    }
}
