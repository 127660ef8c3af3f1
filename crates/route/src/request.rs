use super::*;

/// A caller's request without its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number at this daemon.
    pub id: RequestId,
    /// Service called.
    pub service: Name,
    /// Kind of the request.
    pub kind: Name,
    /// Tenant of the caller.
    pub tenant: Name,
    /// Key under which the caller may resend the request.
    pub key: Option<Name>,
    /// Hashes by which a resend is told from another request under the same key.
    pub fingerprint: Fingerprint,
    /// Time within which the caller wants the answer; that of the kind where it is absent.
    pub timeout: Option<Duration>,
}
