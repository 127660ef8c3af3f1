use super::*;

/// An answered request.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Tenant of the caller.
    pub tenant: &'a str,
    /// Kind of the request.
    pub kind: &'a str,
    /// Service called.
    pub service: &'a str,
    /// Outcome as reported to the caller.
    pub outcome: &'static str,
    /// Reason why there is no answer of an upstream; empty if there is one.
    pub reason: &'a str,
    /// Time from the arrival of the request to the end of its answer.
    pub total: Duration,
    /// Time from the arrival of the request to its first attempt, if there was one.
    pub queued: Option<Duration>,
    /// Duration of the attempt that was answered, if any.
    pub upstream: Option<Duration>,
}
