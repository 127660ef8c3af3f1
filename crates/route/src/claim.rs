use super::*;

/// The sole right to run a non-idempotent request, held by one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Key under which the caller may resend the request.
    pub key: Name,
    /// Tenant of the caller.
    pub tenant: Name,
    /// Hashes by which a resend is told from another request.
    pub fingerprint: Fingerprint,
    /// Daemon that may run the request.
    pub holder: Name,
    /// Start of that daemon.
    pub boot: u64,
    /// Number of the request at that daemon.
    pub request: RequestId,
}

impl Claim {
    /// Whether both were made by one request at one start of a daemon.
    pub fn same_holder(&self, other: &Self) -> bool {
        self.holder == other.holder && self.boot == other.boot && self.request == other.request
    }

    /// How `resend` differs from the request that this claim was made for.
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
