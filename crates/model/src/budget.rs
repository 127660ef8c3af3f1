use super::*;

/// Availability budget: limits how many of the selected instances are disrupted at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Instances that the budget covers.
    pub selector: Selector,
    /// Instances that may be unavailable at the same time, planned or not.
    pub max_unavailable: Quota,
    /// Part of `max_unavailable` held back for unplanned failures.
    pub reserve: Quota,
}
