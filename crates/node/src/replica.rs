use super::*;

/// The replicated state, which the log determines and which is the same on every daemon. Snapshots
/// contain exactly this.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Index of the last entry applied.
    pub applied: Index,
    /// Fleet state.
    pub fleet: fleet::State,
    /// Job placement.
    pub place: place::State,
    /// Request routing.
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

    /// Applies a fleet command. Quotas of a new configuration take effect on placement in the same
    /// step.
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

    /// The outcomes by which a daemon that had `previous` before catches up with this state, after
    /// installing a snapshot.
    pub fn outcomes(&self, previous: &Self) -> Vec<Outcome> {
        let mut outcomes = into_outcomes(self.fleet.effects(&previous.fleet));
        outcomes.push(route::Decision::Roster(self.route.roster.clone()).into());
        outcomes
    }
}

fn into_outcomes<T: Into<Outcome>>(effects: impl IntoIterator<Item = T>) -> Vec<Outcome> {
    effects.into_iter().map(Into::into).collect()
}
