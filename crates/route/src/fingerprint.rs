use {super::*, std::hash::Hasher};

/// Hashes of a request, which are the same on every daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Hash of method, service and path.
    pub target: u64,
    /// Hash of the body.
    pub body: u64,
}

impl Fingerprint {
    /// Seed of the hashes. Claims in the log contain hashes, so it must not change.
    const SEED: u64 = 0x7361_7264_696e_6573;

    /// Hashes the parts of a request.
    pub fn new(method: &str, service: &str, path: &str, body: &[u8]) -> Self {
        let mut target = XxHash64::with_seed(Self::SEED);
        for part in [method, service, path] {
            target.write(part.as_bytes());
            target.write_u8(0);
        }
        Self { target: target.finish(), body: XxHash64::oneshot(Self::SEED, body) }
    }
}
