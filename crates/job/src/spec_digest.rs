use super::*;
use std::hash::{Hash, Hasher};
use twox_hash::XxHash64;

/// Digest of the description of a job, by which it is recognized once it has been dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpecDigest([u64; 2]);

impl From<&Spec> for SpecDigest {
    fn from(spec: &Spec) -> Self {
        Self([0, 1].map(|seed| {
            let mut hasher = XxHash64::with_seed(seed);
            spec.hash(&mut hasher);
            hasher.finish()
        }))
    }
}
