use super::*;

/// What a budget counts at the moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outage {
    /// Instances that the budget selects.
    pub selected: u32,
    /// Instances down without a grant.
    pub down: u32,
    /// Instances under a grant.
    pub granted: u32,
}

impl Outage {
    /// Instances that are unavailable, for whatever cause.
    pub fn unavailable(&self) -> u32 {
        self.down + self.granted
    }

    /// Instances that decisions may make unavailable, those already unavailable included.
    pub fn disruption_limit(&self, budget: &Budget) -> u32 {
        let limit = budget.max_unavailable.resolve_floor(self.selected);
        limit.saturating_sub(budget.reserve.resolve_ceil(self.selected))
    }

    /// Further instances that decisions may make unavailable.
    pub fn disruptions_allowed(&self, budget: &Budget) -> u32 {
        self.disruption_limit(budget).saturating_sub(self.unavailable())
    }

    /// The refusal of `budget` under the name `name`.
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
