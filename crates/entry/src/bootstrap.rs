//! Bootstraps the quorum of a new fleet. Every daemon has the same list of seeds and starts with an
//! empty disk. Daemons offer themselves to the seeds as candidates, and each seed votes once, for
//! one candidate. The candidate with the votes of a majority of the seeds starts the log as its
//! only member; all other daemons join it.

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
    /// Time after its start during which a seed collects offers before it votes. All daemons of a
    /// new fleet start within a shorter time of each other.
    const OFFER_WAIT: Duration = Duration::from_millis(700);

    /// Records the offer of a candidate, and returns the vote of this seed once it is cast.
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
