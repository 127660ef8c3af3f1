//! Who votes, as the leader arranges it: daemons with a disk join as observers, become voters once
//! they have caught up, and take the place of voters that are silent or have lost their disk. One
//! member changes at a time, and the number of voters stays odd where there is a choice.

use super::*;

/// What the leader knows of daemons that would join.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    joining: BTreeMap<Name, Time>,
    /// When this leader was first asked whether the fleet is settled.
    since: Option<Time>,
}

impl Membership {
    /// Voters that are wanted; more would slow every commit.
    const VOTERS: usize = 5;
    /// After which a voter that does not answer may be replaced.
    const SILENT: Duration = Duration::from_millis(4000);
    /// How long a fleet that begins waits for a seed that does not come.
    const MISSING: Duration = Duration::from_secs(2);
    /// How long a wish to join holds.
    const WISH: Duration = Duration::from_millis(1500);

    /// Whether enough daemons vote in a fleet that has just begun: as many as there are seeds, or
    /// most of them if some do not come.
    pub(crate) fn is_settled(&mut self, now: Time, quorum: &quorum::State, seeds: usize) -> bool {
        let since = *self.since.get_or_insert(now);
        let voters = quorum.members().voters().count();
        voters >= seeds || voters > seeds / 2 && now > since + Self::MISSING
    }

    pub(crate) fn join(&mut self, now: Time, from: Name) {
        self.joining.insert(from, now);
    }

    /// The next change, where one is due.
    pub(crate) fn change(&mut self, now: Time, quorum: &quorum::State) -> Option<quorum::Change> {
        self.joining.retain(|_, heard| now < *heard + Self::WISH);
        let members = quorum.members();
        let progress: BTreeMap<_, _> = quorum.progress().into_iter().collect();
        let replaced = |name: &&Name| {
            let peer = progress.get(*name);
            let disk = members.get(name).and_then(|member| member.disk);
            peer.is_some_and(|p| p.last_acked_send.is_some() && p.disk.is_some() && p.disk != disk)
        };
        if let Some(name) = members.voters().find(replaced) {
            return Some(quorum::Change::Observer(name.clone()));
        }
        if let Some(name) = self.joining.keys().find(|name| members.get(name).is_none()) {
            return Some(quorum::Change::Observer(name.clone()));
        }
        let alive = |name: &Name| {
            let answered = progress.get(name).and_then(|peer| peer.last_acked_send);
            answered.is_some_and(|at| now < at + Self::SILENT / 4)
        };
        let observers = members.iter().filter(|(_, member)| member.role == quorum::Role::Observer);
        let standby: Vec<_> =
            observers.map(|(name, _)| name.clone()).filter(|name| alive(name)).collect();
        let silent = |name: &&Name| {
            let answered = progress.get(*name).map(|peer| peer.last_acked_send.unwrap_or_default());
            answered.is_some_and(|at| now > at + Self::SILENT)
        };
        let voters = members.voters().count();
        if !standby.is_empty()
            && voters > 1
            && let Some(name) = members.voters().find(silent)
        {
            return Some(quorum::Change::Remove(name.clone()));
        }
        // Two voters keep what one of them loses; beyond that an even number only adds to a majority.
        let wanted =
            voters == 1 || voters.is_multiple_of(2) || standby.len() >= 2 && voters < Self::VOTERS;
        let ready = standby.into_iter().find(|_| wanted)?;
        Some(quorum::Change::Voter(ready))
    }
}
