//! Bootstraps the quorum of a new fleet. Every daemon has the same list of seeds and starts with an
//! empty disk. Each seed votes once, for one of the daemons that offer themselves, and the daemon
//! chosen by a majority of the seeds starts the log as its only member. All others join it.

use super::*;

/// Election of the daemon that starts the log.
#[derive(Debug, Default)]
pub(crate) struct Bootstrap {
    /// Daemons that have offered themselves to this seed.
    candidates: BTreeSet<Name>,
    /// Vote of this seed, once it is cast.
    own_vote: Option<Name>,
    /// Seeds that voted for this daemon.
    votes: BTreeSet<Name>,
}

impl Bootstrap {
    /// How long a seed collects offers after its start before it votes. Daemons start within a
    /// shorter time of each other.
    const OFFER_WAIT: Duration = Duration::from_millis(700);

    /// Records an offer, and returns the vote of this seed once it is cast.
    pub(crate) fn offer(&mut self, now: Time, from: Name) -> Option<Name> {
        self.candidates.insert(from);
        if self.own_vote.is_none() && now >= Self::OFFER_WAIT {
            self.own_vote = self.candidates.first().cloned();
        }
        self.own_vote.clone()
    }

    /// Records the vote of a seed, and returns whether a majority has chosen this daemon.
    pub(crate) fn vote(&mut self, seeds: &[Name], from: Name, chosen: &Name, own: &Name) -> bool {
        if chosen == own && seeds.contains(&from) {
            self.votes.insert(from);
        }
        self.votes.len() > seeds.len() / 2
    }
}
