use super::*;

/// Which daemons have no work in flight on instances that drain, as the leader keeps it. A new
/// leader asks anew. While any drain is under way every daemon that has a view reports at each
/// beat, so that its silence tells how long it has had none.
#[derive(Debug, Default)]
pub(crate) struct Drains {
    current: BTreeSet<(Name, fleet::Epoch)>,
    /// Since when any drain has been under way.
    since: Time,
    idle: BTreeMap<(Name, fleet::Epoch), BTreeSet<Name>>,
    heard: BTreeMap<Name, Time>,
}

impl Drains {
    /// After which a daemon that was not heard holds no view lease.
    const SILENCE: Duration = quorum::Timing::VIEW_LEASE.saturating_mul(2);

    /// Keeps just the drains that are under way.
    pub(crate) fn keep(&mut self, now: Time, drains: BTreeSet<(Name, fleet::Epoch)>) {
        if self.current.is_empty() {
            self.heard.clear();
            self.since = now;
        }
        self.idle.retain(|drain, _| drains.contains(drain));
        self.current = drains;
    }

    /// Takes the report of a daemon about the drains under way on which it has no work.
    pub(crate) fn report(&mut self, now: Time, from: Name, idle: Vec<(Name, fleet::Epoch)>) {
        for drain in idle {
            self.idle.entry(drain).or_default().insert(from.clone());
        }
        self.heard.insert(from, now);
    }

    /// Drains that no daemon of `members` has work for. A silent daemon counts as idle once its
    /// view lease and then the longest deadline have passed.
    pub(crate) fn done(
        &self,
        now: Time,
        members: &BTreeSet<Name>,
        deadline: Duration,
    ) -> Vec<(Name, fleet::Epoch)> {
        let idle = |drain: &(Name, fleet::Epoch), member: &Name| {
            let last = self.heard.get(member).copied().unwrap_or(self.since);
            let reported = self.idle.get(drain).is_some_and(|idle| idle.contains(member));
            reported || now.saturating_sub(last) >= Self::SILENCE + deadline
        };
        let all_idle = |drain: &&(Name, fleet::Epoch)| members.iter().all(|m| idle(drain, m));
        self.current.iter().filter(all_idle).cloned().collect()
    }
}
