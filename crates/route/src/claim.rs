use super::*;

/// The exclusive right of one daemon to run the non-idempotent request with a given key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Idempotency key chosen by the caller.
    pub key: Name,
    /// Tenant of the caller.
    pub tenant: Name,
    /// Hashes that distinguish a resend from a different request with the same key.
    pub fingerprint: Fingerprint,
    /// Daemon that may run the request.
    pub holder: Name,
    /// Boot id of that daemon, which differs after each start.
    pub boot: u64,
    /// Id of the request within that start of the daemon.
    pub request: RequestId,
}

impl Claim {
    /// Whether both claims are for the same request of the same daemon, with no restart in between.
    pub fn same_holder(&self, other: &Self) -> bool {
        self.holder == other.holder && self.boot == other.boot && self.request == other.request
    }

    /// Why `resend` is refused if it is a different request with the same key, `None` if it is a
    /// resend of the request of this claim.
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
