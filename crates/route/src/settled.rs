use super::*;

/// Final outcomes of claimed requests, the latest only.
#[derive(Debug, Default)]
pub(crate) struct Settled {
    outcomes: Map<RequestId, (Claim, Outcome)>,
    order: VecDeque<RequestId>,
}

impl Settled {
    /// Outcomes kept.
    const CAPACITY: usize = 16_384;

    pub(crate) fn insert(&mut self, request: RequestId, claim: Claim, outcome: Outcome) {
        self.outcomes.insert(request, (claim, outcome));
        self.order.push_back(request);
        if self.order.len() > Self::CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&(Claim, Outcome)> {
        self.outcomes.get(&request)
    }
}
