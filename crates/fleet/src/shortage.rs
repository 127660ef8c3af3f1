use super::*;

/// A budget that allows no further disruption, with its numbers.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(
    "budget `{budget}` allows {limit} of {selected} unavailable, {reserve} of them held in \
     reserve: {down} down, {granted} granted"
)]
pub struct Shortage {
    /// The budget.
    pub budget: Name,
    /// Instances that it selects.
    pub selected: u32,
    /// Instances that may be unavailable.
    pub limit: u32,
    /// Part of the limit held back.
    pub reserve: u32,
    /// Instances down without a grant.
    pub down: u32,
    /// Instances under a grant.
    pub granted: u32,
}
