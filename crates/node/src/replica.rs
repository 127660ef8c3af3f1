use super::*;

/// What the replicated log determines, the same on every daemon; a snapshot holds just this.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Index of the last entry applied.
    pub applied: Index,
    /// The fleet.
    pub fleet: fleet::State,
    /// Jobs on workers.
    pub place: place::State,
    /// Dispatch.
    pub route: route::ReplicatedState,
}

impl Replica {
    /// Applies a committed command.
    pub fn apply(&mut self, index: Index, command: Command) -> Vec<Outcome> {
        self.applied = index;
        match command {
            Command::Fleet(command) => self.apply_fleet(command),
            Command::Place(command) => into_outcomes(self.place.apply(command)),
            Command::Route(command) => into_outcomes(self.route.apply(command)),
        }
    }

    /// Applies a command of the fleet; quotas of a new configuration bind placement at once.
    fn apply_fleet(&mut self, command: fleet::Command) -> Vec<Outcome> {
        let effects = self.fleet.apply(command);
        let mut placed = Vec::new();
        for effect in &effects {
            if let fleet::Effect::Configured(config) = effect {
                placed.extend(self.place.configure(&config.teams));
            }
        }
        let mut outcomes = into_outcomes(effects);
        outcomes.extend(into_outcomes(placed));
        outcomes
    }

    /// Everything that follows from the state as a whole, for a daemon that had `former` before.
    pub fn outcomes(&self, former: &Self) -> Vec<Outcome> {
        let mut outcomes = into_outcomes(self.fleet.effects(&former.fleet));
        outcomes.push(route::Decision::Roster(self.route.roster.clone()).into());
        outcomes
    }
}

fn into_outcomes<T: Into<Outcome>>(effects: impl IntoIterator<Item = T>) -> Vec<Outcome> {
    effects.into_iter().map(Into::into).collect()
}
