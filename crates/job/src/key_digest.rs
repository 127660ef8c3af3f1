use super::*;

/// SHA-256 digest of a key. The keys themselves are not kept.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl std::fmt::Debug for KeyDigest {
    /// Writes the first bytes, enough to tell keys apart in a log.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        self.0[..4].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
