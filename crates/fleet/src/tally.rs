use super::*;

/// The [`Outage`] of each budget, by name of the budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally(BTreeMap<Name, Outage>);

impl Tally {
    /// Counts the instances of `state`.
    pub fn count(state: &State) -> Self {
        let mut tally = Self::default();
        for name in state.config().budgets.keys() {
            tally.0.insert(name.clone(), Outage::default());
        }
        for upstream in state.upstreams().values() {
            for budget in &upstream.budgets {
                let Some(outage) = tally.0.get_mut(budget) else { continue };
                outage.selected += 1;
                outage.granted += u32::from(upstream.grant.is_some());
                outage.down += u32::from(upstream.grant.is_none() && !state.is_available(upstream));
            }
        }
        tally
    }

    /// The numbers of `budget`, all zero if there is no such budget.
    pub fn get(&self, budget: &Name) -> Outage {
        self.0.get(budget).copied().unwrap_or_default()
    }

    /// The first budget that does not allow a disruption of `upstream`.
    pub fn shortage(&self, config: &Config, upstream: &Upstream) -> Option<Shortage> {
        upstream.budgets.iter().find_map(|name| {
            let (budget, outage) = (config.budgets.get(name)?, self.get(name));
            (outage.disruptions_allowed(budget) == 0).then(|| outage.shortage(name, budget))
        })
    }

    /// Counts `upstream` as granted, for the decisions that follow in the same plan.
    pub fn grant(&mut self, upstream: &Upstream) {
        for budget in &upstream.budgets {
            if let Some(outage) = self.0.get_mut(budget) {
                outage.granted += 1;
            }
        }
    }
}
