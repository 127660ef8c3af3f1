use super::*;

/// First answers of claimed requests, cached for retries; the oldest are evicted first.
#[derive(Debug, Default)]
pub(crate) struct AnswerCache {
    answers: Map<route::RequestId, route::Answer>,
    /// Requests in the order of their insertion.
    order: VecDeque<route::RequestId>,
    /// Total size of all bodies.
    bytes: usize,
}

impl AnswerCache {
    /// Maximum number of answers.
    const MAX_ANSWERS: usize = 16_384;
    /// Maximum total size of all bodies, in bytes.
    const MAX_BYTES: usize = 32 * 1024 * 1024;
    /// Maximum size of one body, in bytes; answers with larger ones are not cached.
    const MAX_ANSWER_BYTES: usize = 1024 * 1024;

    pub(crate) fn insert(&mut self, request: route::RequestId, answer: route::Answer) {
        if answer.body.len() > Self::MAX_ANSWER_BYTES {
            return;
        }
        self.bytes += answer.body.len();
        self.answers.insert(request, answer);
        self.order.push_back(request);
        while self.order.len() > Self::MAX_ANSWERS || self.bytes > Self::MAX_BYTES {
            self.evict_oldest();
        }
    }

    pub(crate) fn get(&self, request: route::RequestId) -> Option<route::Answer> {
        self.answers.get(&request).cloned()
    }

    fn evict_oldest(&mut self) {
        let oldest = self.order.pop_front().and_then(|request| self.answers.remove(&request));
        self.bytes -= oldest.map_or(0, |answer| answer.body.len());
    }
}
