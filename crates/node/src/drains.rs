use super::*;

/// Tracks, on the leader, which daemons have no requests in flight to draining instances. A new
/// leader starts afresh. While any instance drains, every daemon with a view lease reports at each
/// periodic run, so a daemon that has not reported for long enough has no view lease, and starts no
/// new work.
#[derive(Debug, Default)]
pub(crate) struct Drains {
    /// Instances that are draining, with their epochs.
    current: BTreeSet<(Name, fleet::Epoch)>,
    /// Start of the current period with at least one drain.
    draining_since: Time,
    /// Daemons that have reported no requests in flight, by drain.
    idle: BTreeMap<(Name, fleet::Epoch), BTreeSet<Name>>,
    /// Time of the last report of each daemon.
    last_reports: BTreeMap<Name, Time>,
}

impl Drains {
    /// Time without a report after which a daemon certainly holds no view lease.
    const REPORT_TIMEOUT: Duration = quorum::Timing::VIEW_LEASE.saturating_mul(2);

    /// Replaces the set of drains in progress, and forgets reports about all others.
    pub(crate) fn set_current(&mut self, now: Time, drains: BTreeSet<(Name, fleet::Epoch)>) {
        if self.current.is_empty() {
            self.last_reports.clear();
            self.draining_since = now;
        }
        self.idle.retain(|drain, _| drains.contains(drain));
        self.current = drains;
    }

    /// Records a report of a daemon, which lists the drains for which it has no requests in flight.
    pub(crate) fn report(&mut self, now: Time, from: Name, idle: Vec<(Name, fleet::Epoch)>) {
        for drain in idle {
            self.idle.entry(drain).or_default().insert(from.clone());
        }
        self.last_reports.insert(from, now);
    }

    /// The drains for which no daemon of `members` has requests in flight. A daemon that does not
    /// report counts as idle once its view lease and then the longest deadline have passed.
    pub(crate) fn completed(
        &self,
        now: Time,
        members: &BTreeSet<Name>,
        deadline: Duration,
    ) -> Vec<(Name, fleet::Epoch)> {
        let idle = |drain: &(Name, fleet::Epoch), member: &Name| {
            let last = self.last_reports.get(member).copied().unwrap_or(self.draining_since);
            let reported = self.idle.get(drain).is_some_and(|idle| idle.contains(member));
            reported || now.saturating_sub(last) >= Self::REPORT_TIMEOUT + deadline
        };
        let all_idle = |drain: &&(Name, fleet::Epoch)| members.iter().all(|m| idle(drain, m));
        self.current.iter().filter(all_idle).cloned().collect()
    }
}
