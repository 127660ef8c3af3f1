use super::*;

/// Final outcomes of the most recent requests that held a claim, for answering resends.
#[derive(Debug, Default)]
pub(crate) struct ClaimedOutcomes {
    outcomes: Map<RequestId, (Claim, Outcome)>,
    /// Requests in the order in which they finished.
    order: VecDeque<RequestId>,
}

impl ClaimedOutcomes {
    /// Maximum number of outcomes kept; the oldest is dropped first.
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
