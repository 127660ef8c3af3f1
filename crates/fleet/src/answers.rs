use super::*;

/// Verdicts by request, the oldest forgotten first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    verdicts: BTreeMap<Name, Verdict>,
    order: VecDeque<Name>,
}

impl Answers {
    /// Requests whose verdict is kept: more than three days of changes at the planned size.
    pub const MAX: usize = 10_000;

    /// The verdict that `request` got.
    pub fn get(&self, request: &Name) -> Option<&Verdict> {
        self.verdicts.get(request)
    }

    /// Keeps `verdict` for resends of `request`.
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
