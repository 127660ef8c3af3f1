use super::*;

/// The exclusive right of one daemon to run the non-idempotent request with a given key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Idempotency key chosen by the caller.
    pub key: Name,
    /// Tenant of the caller.
    pub tenant: Name,
    /// Hashes that tell a resend from a different request with the same key.
    pub fingerprint: Fingerprint,
    /// Daemon that may run the request.
    pub holder: Name,
    /// Boot id of that daemon.
    pub boot: u64,
    /// Number of the request at that daemon.
    pub request: RequestId,
}

impl Claim {
    /// Whether both claims were made for the same request at the same start of a daemon.
    pub fn same_holder(&self, other: &Self) -> bool {
        self.holder == other.holder && self.boot == other.boot && self.request == other.request
    }

    /// Reason to refuse `resend` because it is not a resend of the request of this claim.
    pub fn mismatch(&self, resend: &Self) -> Option<Reason> {
        if self.tenant != resend.tenant {
            return Some(Reason::KeyOfOtherTenant);
        }
        if self.fingerprint.target != resend.fingerprint.target {
            return Some(Reason::KeyOfOtherPath);
        }
        (self.fingerprint.body != resend.fingerprint.body).then_some(Reason::KeyOfOtherBody)
    }
}
