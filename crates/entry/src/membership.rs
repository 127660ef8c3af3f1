//! Manages the voters, on the leader: daemons with a disk join as observers, become voters once
//! they have caught up, and replace voters that are about to end, do not answer, or have lost their
//! disk. Members change one at a time, and the number of voters is kept odd where possible.

use super::*;

/// Join requests and settling state of a leader.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    /// Daemons that asked to join, and when they last did.
    join_requests: BTreeMap<Name, Time>,
    /// Members that have said that their process ends, and the run of the process.
    leaving: BTreeMap<Name, u64>,
    /// When this leader first checked whether the fleet has settled.
    settling_since: Option<Time>,
}

impl Membership {
    /// Target number of voters; more would slow down every commit.
    const TARGET_VOTERS: usize = 5;
    /// A voter that has not answered this leader for this long may be replaced. With an election and
    /// two changes of the members, this takes less time than a new machine is given to catch up.
    const VOTER_TIMEOUT: Duration = Duration::from_millis(2000);
    /// An observer that has not answered this leader for this long does not become a voter.
    const STANDBY_TIMEOUT: Duration = Duration::from_millis(1000);
    /// How long a new fleet waits for all seeds to join before a majority of them suffices.
    const SEED_WAIT: Duration = Duration::from_secs(2);
    /// How long a join request stays valid.
    const JOIN_VALIDITY: Duration = Duration::from_millis(1500);

    /// Whether a new fleet has enough voters to accept commands: as many as there are seeds or,
    /// after a while, a majority of the seeds.
    pub(crate) fn is_settled(&mut self, now: Time, quorum: &quorum::State, seeds: usize) -> bool {
        let settling_since = *self.settling_since.get_or_insert(now);
        let voters = quorum.members().voters().count();
        voters >= seeds || voters > seeds / 2 && now > settling_since + Self::SEED_WAIT
    }

    /// Records a request to join.
    pub(crate) fn join(&mut self, now: Time, from: Name) {
        self.join_requests.insert(from, now);
    }

    /// Records that the process of a member ends in its run `boot`. Also recorded by members that do
    /// not lead, since each may lead before that process has ended.
    pub(crate) fn leave(&mut self, name: Name, boot: u64) {
        self.leaving.insert(name, boot);
    }

    /// Records that a daemon runs as the process `boot`: what an earlier one has said of its end is over.
    pub(crate) fn heard_from(&mut self, name: &Name, boot: u64) {
        self.leaving.retain(|leaving, run| leaving != name || runs::share_process(*run, boot));
    }

    /// The next membership change, if one is due.
    pub(crate) fn next_change(
        &mut self,
        now: Time,
        quorum: &quorum::State,
    ) -> Option<quorum::Change> {
        self.join_requests.retain(|_, heard| now < *heard + Self::JOIN_VALIDITY);
        let members = quorum.members();
        // A daemon that runs as another process is here to stay.
        self.leaving.retain(|name, boot| {
            let known = quorum.boot_of(name);
            let ends = known.is_none_or(|known| runs::share_process(known, *boot));
            members.get(name).is_some() && ends
        });
        let is_leaving = |name: &Name| self.leaving.contains_key(name);
        let progress: BTreeMap<_, _> = quorum.progress().into_iter().collect();
        let lost_disk = |name: &&Name| {
            let peer = progress.get(*name);
            let disk = members.get(name).and_then(|member| member.disk);
            peer.is_some_and(|p| p.last_acked_send.is_some() && p.disk.is_some() && p.disk != disk)
        };
        if let Some(name) = members.voters().find(lost_disk) {
            return Some(quorum::Change::Observer(name.clone()));
        }
        if let Some(name) = self.join_requests.keys().find(|name| members.get(name).is_none()) {
            return Some(quorum::Change::Observer(name.clone()));
        }
        let alive = |name: &Name| {
            let answered = progress.get(name).and_then(|peer| peer.last_acked_send);
            answered.is_some_and(|at| now < at + Self::STANDBY_TIMEOUT)
        };
        let observers = members.iter().filter(|(_, member)| member.role == quorum::Role::Observer);
        let mut standby: Vec<_> = observers
            .map(|(name, _)| name.clone())
            .filter(|name| alive(name) && !is_leaving(name))
            .collect();
        standby.sort_by_key(|name| Reverse(quorum.matched(name)));
        let unresponsive = |name: &&Name| {
            let answered =
                progress.get(*name).map(|peer| peer.last_acked_send.unwrap_or(peer.since));
            answered.is_some_and(|at| now > at + Self::VOTER_TIMEOUT)
        };
        let voters = members.voters().count();
        // A leader that is about to end hands its leadership over before its vote.
        let ends = |name: &&Name| is_leaving(name) && quorum.leader() != Some(*name);
        let replaceable =
            members.voters().find(unresponsive).or_else(|| members.voters().find(ends));
        let replaceable = replaceable.filter(|_| !standby.is_empty() || voters > 2);
        // The replacement becomes a voter first. With fewer voters, the next one that fails would leave
        // no majority, even if the one that is replaced answers again.
        let has_replacement = voters.is_multiple_of(2) && voters > 2;
        if let Some(name) = replaceable.filter(|_| has_replacement) {
            return Some(quorum::Change::Remove(name.clone()));
        }
        // With two voters, the data survives the loss of one disk. Beyond that, an even number of
        // voters only makes the majority larger.
        let wanted = voters == 1
            || voters.is_multiple_of(2)
            || replaceable.is_some()
            || standby.len() >= 2 && voters < Self::TARGET_VOTERS;
        let ready = standby.into_iter().find(|_| wanted)?;
        Some(quorum::Change::Voter(ready))
    }
}
