use super::*;

/// A caller's request, without its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of the request at this daemon.
    pub id: RequestId,
    /// Service called.
    pub service: Name,
    /// Kind of the request.
    pub kind: Name,
    /// Tenant of the caller.
    pub tenant: Name,
    /// Idempotency key under which the caller may resend the request.
    pub key: Option<Name>,
    /// Hashes that tell a resend from a different request with the same key.
    pub fingerprint: Fingerprint,
    /// Time within which the caller wants the answer; limited to the deadline of the kind, which is
    /// also the default.
    pub timeout: Option<Duration>,
}
