use super::*;

/// A caller's request that has not been answered yet.
pub(crate) struct PendingRequest {
    pub(crate) request: tiny_http::Request,
    pub(crate) call: Arc<Call>,
    pub(crate) answers: BTreeMap<route::AttemptId, Answer>,
    pub(crate) timing: RequestTiming,
    /// Counts the request as in flight until its answer has been sent.
    pub(crate) _in_flight: InFlightGuard,
}
