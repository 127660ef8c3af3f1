use super::*;

/// Limits the number of distinct values of a label, and thus the number of time series.
#[derive(Debug, Default)]
pub(crate) struct BoundedLabel(RwLock<BTreeSet<String>>);

impl BoundedLabel {
    /// Maximum number of distinct values.
    const MAX_VALUES: usize = 64;

    /// Maximum length of a value in bytes.
    const MAX_BYTES: usize = 64;

    /// Value that stands for all values beyond these limits.
    const OTHER: &str = "other";

    /// The label value to use for `value`: itself or [`Self::OTHER`].
    pub(crate) fn value(&self, value: &str) -> String {
        let known = self.0.read().unwrap_or_else(PoisonError::into_inner).contains(value);
        if known || self.admit(value) { value.to_owned() } else { Self::OTHER.to_owned() }
    }

    /// Adds a value if it is short enough and the maximum number is not reached. Returns whether it
    /// is one of the values now.
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
