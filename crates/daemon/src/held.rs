use super::*;

/// A caller's request that waits for its answer.
pub(crate) struct Held {
    pub(crate) request: tiny_http::Request,
    pub(crate) call: Arc<Call>,
    pub(crate) answers: BTreeMap<route::AttemptId, Answer>,
    pub(crate) trace: Trace,
    /// Lasts until the answer has gone out.
    pub(crate) _busy: Busy,
}
