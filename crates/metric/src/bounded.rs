use super::*;

/// Values of one label, of which a bounded number is told apart.
#[derive(Debug, Default)]
pub(crate) struct Bounded(RwLock<BTreeSet<String>>);

impl Bounded {
    /// Values that are told apart.
    const MAX_VALUES: usize = 64;

    /// Longest value, in bytes.
    const MAX_BYTES: usize = 64;

    /// What stands for every other value.
    const OTHER: &str = "other";

    /// The value to use for `value`.
    pub(crate) fn value(&self, value: &str) -> String {
        let known = self.0.read().unwrap_or_else(PoisonError::into_inner).contains(value);
        if known || self.admit(value) { value.to_owned() } else { Self::OTHER.to_owned() }
    }

    fn admit(&self, value: &str) -> bool {
        let full = |values: &BTreeSet<String>| values.len() >= Self::MAX_VALUES;
        if value.len() > Self::MAX_BYTES
            || full(&self.0.read().unwrap_or_else(PoisonError::into_inner))
        {
            return false;
        }
        let mut values = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if full(&values) {
            return values.contains(value);
        }
        values.insert(value.to_owned());
        true
    }
}
