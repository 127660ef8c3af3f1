use super::*;

/// A caller's request that has not been answered yet.
pub(crate) struct PendingRequest {
    pub(crate) request: tiny_http::Request,
    pub(crate) call: Arc<Call>,
    /// Answers received from upstreams, by attempt.
    pub(crate) answers: BTreeMap<route::AttemptId, Answer>,
    pub(crate) timing: RequestTiming,
    /// Counts the request as in flight; dropped once its answer has been sent.
    pub(crate) _in_flight: InFlightGuard,
}
