use super::*;

/// A request that was answered.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Tenant of the caller.
    pub tenant: &'a str,
    /// Kind of the request.
    pub kind: &'a str,
    /// Service called.
    pub service: &'a str,
    /// Outcome as the caller learns it.
    pub outcome: &'static str,
    /// Why there was no answer of an upstream; empty where there was one.
    pub reason: &'a str,
    /// From the arrival of the request to the end of its answer.
    pub total: Duration,
    /// From its arrival to its first attempt.
    pub queued: Option<Duration>,
    /// The attempt that was answered.
    pub upstream: Option<Duration>,
}
