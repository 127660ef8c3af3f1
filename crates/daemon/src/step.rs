use {
    super::*,
    std::hash::{BuildHasher, Hasher},
};

/// A recorded event, with a hash of its effects.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Step {
    pub(crate) now: Time,
    pub(crate) event: Event,
    /// Hash of the effects.
    pub(crate) effects: u64,
}

impl Step {
    /// A hash of the `Debug` text of `effects` that is the same in every process.
    pub(crate) fn hash(effects: &[Effect]) -> u64 {
        let mut hasher = foldhash::fast::FixedState::with_seed(0).build_hasher();
        hasher.write(format!("{effects:?}").as_bytes());
        hasher.finish()
    }
}
