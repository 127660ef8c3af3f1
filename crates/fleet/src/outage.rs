use super::*;

/// Numbers of selected and of unavailable instances of one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outage {
    /// Instances that the budget selects.
    pub selected: u32,
    /// Instances that are unavailable without a grant.
    pub down: u32,
    /// Instances that have a grant.
    pub granted: u32,
}

impl Outage {
    /// Number of unavailable instances, planned and unplanned.
    pub fn unavailable(&self) -> u32 {
        self.down + self.granted
    }

    /// Number of unavailable instances up to which disruptions are granted: the limit of `budget`
    /// without its reserve.
    pub fn disruption_limit(&self, budget: &Budget) -> u32 {
        let limit = budget.max_unavailable.resolve_floor(self.selected);
        limit.saturating_sub(budget.reserve.resolve_ceil(self.selected))
    }

    /// Number of further instances that may be disrupted now.
    pub fn disruptions_allowed(&self, budget: &Budget) -> u32 {
        self.disruption_limit(budget).saturating_sub(self.unavailable())
    }

    /// The error for a disruption that `budget`, called `name`, does not allow.
    pub fn shortage(&self, name: &Name, budget: &Budget) -> Shortage {
        Shortage {
            budget: name.clone(),
            selected: self.selected,
            limit: budget.max_unavailable.resolve_floor(self.selected),
            reserve: budget.reserve.resolve_ceil(self.selected),
            down: self.down,
            granted: self.granted,
        }
    }
}
