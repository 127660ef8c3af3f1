use super::*;

/// Verdicts of the most recent requests, so that a request that is sent again gets the same
/// verdict. The oldest are dropped first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentVerdicts {
    verdicts: BTreeMap<Name, Verdict>,
    /// The requests, oldest first.
    order: VecDeque<Name>,
}

impl RecentVerdicts {
    /// Maximum number of verdicts kept: more than three days of changes at the planned fleet size.
    pub const MAX: usize = 10_000;

    /// The verdict of `request`, if it is still kept.
    pub fn get(&self, request: &Name) -> Option<&Verdict> {
        self.verdicts.get(request)
    }

    /// Stores the verdict of `request`, and drops the oldest if there are more than [`Self::MAX`].
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
