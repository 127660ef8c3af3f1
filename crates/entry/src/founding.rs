//! Who founds the fleet. Every daemon gets the same seeds and starts with an empty disk; each seed
//! chooses one of the daemons that offer themselves, once, and whoever is chosen by a majority of
//! the seeds founds the log alone. All others join it.

use super::*;

/// The choice of the founder.
#[derive(Debug, Default)]
pub(crate) struct Founding {
    /// Daemons that offered themselves, as this seed heard.
    offers: BTreeSet<Name>,
    /// Whom this seed has chosen.
    choice: Option<Name>,
    /// Seeds that have chosen this daemon.
    votes: BTreeSet<Name>,
}

impl Founding {
    /// How long a seed waits for offers; daemons start within less of each other.
    const PATIENCE: Duration = Duration::from_millis(700);

    /// Takes an offer, and gives the choice of this seed once it is made.
    pub(crate) fn offer(&mut self, now: Time, from: Name) -> Option<Name> {
        self.offers.insert(from);
        if self.choice.is_none() && now >= Self::PATIENCE {
            self.choice = self.offers.first().cloned();
        }
        self.choice.clone()
    }

    /// Takes the choice of a seed; whether a majority has now chosen this daemon.
    pub(crate) fn vote(&mut self, seeds: &[Name], from: Name, choice: &Name, own: &Name) -> bool {
        if choice == own && seeds.contains(&from) {
            self.votes.insert(from);
        }
        self.votes.len() > seeds.len() / 2
    }
}
