use super::*;

/// What the replicated log determines, the same on every daemon; a snapshot holds just this.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Index of the last entry applied.
    pub applied: Index,
    /// The fleet.
    pub fleet: fleet::State,
    /// Dispatch.
    pub route: route::Ledger,
}

impl Replica {
    /// Applies a committed command.
    pub fn apply(&mut self, index: Index, command: Command) -> Vec<Outcome> {
        self.applied = index;
        match command {
            Command::Fleet(command) => into_outcomes(self.fleet.apply(command)),
            Command::Route(command) => into_outcomes(self.route.apply(command)),
        }
    }

    /// Everything that follows from the state as a whole, for a daemon that starts from it.
    pub fn outcomes(&self) -> Vec<Outcome> {
        let configured = fleet::Effect::Configured(self.fleet.config().clone());
        let upstreams = self.fleet.upstreams().values().cloned().map(fleet::Effect::Upstream);
        let mut outcomes = into_outcomes(std::iter::once(configured).chain(upstreams));
        outcomes.push(route::Decision::Roster(self.route.roster.clone()).into());
        outcomes
    }
}

fn into_outcomes<T: Into<Outcome>>(effects: impl IntoIterator<Item = T>) -> Vec<Outcome> {
    effects.into_iter().map(Into::into).collect()
}
