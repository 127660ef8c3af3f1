use super::*;

/// The replicated state: the result of applying the log up to an index, which is the same on every
/// daemon. A snapshot contains exactly this.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Index of the last log entry applied.
    pub applied: Index,
    /// Fleet state.
    pub fleet: fleet::State,
    /// Job placement.
    pub place: place::State,
    /// Request routing.
    pub route: route::ReplicatedState,
}

impl Replica {
    /// Applies the committed command at `index` in the log.
    pub fn apply(&mut self, index: Index, command: Command) -> Vec<Outcome> {
        self.applied = index;
        match command {
            Command::Fleet(command) => self.apply_fleet(command),
            Command::Place(command) => into_outcomes(self.place.apply(command)),
            Command::Route(command) => into_outcomes(self.route.apply(command)),
        }
    }

    /// Applies a fleet command. If it sets a new configuration, the job placement gets its team
    /// quotas together with it.
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

    /// The outcomes that bring a daemon from the state `previous` to this one, after it has
    /// installed a snapshot.
    pub fn outcomes(&self, previous: &Self) -> Vec<Outcome> {
        let mut outcomes = into_outcomes(self.fleet.effects(&previous.fleet));
        outcomes.push(route::Decision::Roster(self.route.roster.clone()).into());
        outcomes
    }
}

fn into_outcomes<T: Into<Outcome>>(effects: impl IntoIterator<Item = T>) -> Vec<Outcome> {
    effects.into_iter().map(Into::into).collect()
}
