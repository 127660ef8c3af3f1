use super::*;

/// An availability budget over the instances that it selects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Instances that the budget counts.
    pub selector: Selector,
    /// Instances that may be unavailable at once, for whatever cause.
    pub max_unavailable: Quota,
    /// Part of `max_unavailable` held back for losses that nobody planned.
    pub reserve: Quota,
}
