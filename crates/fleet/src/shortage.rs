use super::*;

/// A budget that allows no further disruption, with the numbers behind the refusal.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(
    "budget `{budget}` allows {limit} of {selected} unavailable, {reserve} of them held in \
     reserve: {down} down, {granted} granted"
)]
pub struct Shortage {
    /// Name of the budget.
    pub budget: Name,
    /// Instances that the budget selects.
    pub selected: u32,
    /// Instances that may be unavailable, including the reserve.
    pub limit: u32,
    /// Part of the limit that is held back for unplanned failures.
    pub reserve: u32,
    /// Instances that are unavailable without a grant.
    pub down: u32,
    /// Instances that have a grant.
    pub granted: u32,
}
