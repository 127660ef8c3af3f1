//! The leader's part in the fleet: fleet time, drains, the planner, and calls to the platform.

use super::*;

/// After which fleet time is written to the log though nothing else happens.
const TICK: Duration = Duration::from_secs(10);

/// The same while instances are under a grant, whose phases are counted in fleet time.
const GRANT_TICK: Duration = Duration::from_secs(1);

/// After which a call to the platform is repeated.
const REPEAT_CALL: Duration = Duration::from_secs(2);

/// Longest deadline where no kind of request is configured.
const MIN_DEADLINE: Duration = Duration::from_secs(1);

/// What the leader keeps; a new leader starts it anew.
#[derive(Debug, Default)]
pub(crate) struct Controller {
    /// When this daemon began to lead, and fleet time then.
    began: Option<(Time, Time)>,
    pub(crate) drains: Drains,
    called: BTreeMap<Name, Time>,
}

impl Controller {
    pub(crate) fn lead(&mut self, now: Time, fleet: Option<&fleet::State>) {
        *self = Self { began: fleet.map(|fleet| (now, fleet.now())), ..Self::default() };
    }

    /// Fleet time, which passes as this daemon's time does while it leads.
    pub(crate) fn fleet_time(&self, now: Time, fleet: &fleet::State) -> Time {
        let (began, base) = self.began.unwrap_or((now, fleet.now()));
        fleet.now().max(base + now.saturating_sub(began))
    }

    /// Commands that the leader proposes now.
    pub(crate) fn commands(
        &mut self,
        now: Time,
        fleet: &fleet::State,
        members: &BTreeSet<Name>,
    ) -> Vec<fleet::Command> {
        let at = self.fleet_time(now, fleet);
        self.drains.keep(now, draining(fleet));
        let done = self.drains.done(now, members, longest_deadline(fleet));
        let drained = done.into_iter().map(|(instance, epoch)| {
            let action = fleet::Action::Drained;
            fleet::Command::Step(fleet::Step { instance, epoch, action, at })
        });
        let mut commands: Vec<_> = drained.collect();
        commands.extend(fleet::Planner::plan(fleet, at));
        let granted = fleet.upstreams().values().any(|upstream| upstream.grant.is_some());
        let tick = if granted { GRANT_TICK } else { TICK };
        if commands.is_empty() && at >= fleet.now() + tick {
            commands.push(fleet::Command::Tick { at });
        }
        commands
    }

    /// Calls to the platform that are due.
    pub(crate) fn calls(&mut self, now: Time, fleet: &fleet::State) -> Vec<platform::Call> {
        let calls: Vec<_> = fleet.upstreams().values().filter_map(reboot).collect();
        self.called.retain(|id, _| calls.iter().any(|call| call.id == *id));
        let due = calls.into_iter().filter(|call| {
            let last = self.called.get(&call.id);
            last.is_none_or(|last| *last + REPEAT_CALL <= now)
        });
        let due: Vec<_> = due.collect();
        self.called.extend(due.iter().map(|call| (call.id.clone(), now)));
        due
    }

    /// The step that follows from what the platform said.
    pub(crate) fn accepted(
        &self,
        now: Time,
        fleet: &fleet::State,
        report: platform::Report,
    ) -> Option<fleet::Command> {
        let platform::Action::Reboot { instance, epoch, .. } = report.call.action;
        let (action, at) = (fleet::Action::Rebooted, self.fleet_time(now, fleet));
        let step = fleet::Step { instance, epoch, action, at };
        report.accepted.then_some(fleet::Command::Step(step))
    }
}

/// Drains under way, by instance and epoch.
pub(crate) fn draining(fleet: &fleet::State) -> BTreeSet<(Name, fleet::Epoch)> {
    let draining = fleet.upstreams().iter().filter(|(_, upstream)| upstream.is_draining());
    draining.map(|(name, upstream)| (name.clone(), upstream.epoch)).collect()
}

fn longest_deadline(fleet: &fleet::State) -> Duration {
    let deadlines = fleet.config().kinds.values().map(|kind| kind.deadline);
    deadlines.max().unwrap_or_default().max(MIN_DEADLINE)
}

fn reboot(upstream: &fleet::Upstream) -> Option<platform::Call> {
    let phase = &upstream.grant.as_ref()?.phase;
    let fleet::Phase::Rebooting { incarnation, accepted: false } = *phase else { return None };
    let (instance, epoch) = (upstream.announcement.instance.clone(), upstream.epoch);
    let id = format!("{instance}-{epoch}").into();
    Some(platform::Call { id, action: platform::Action::Reboot { instance, incarnation, epoch } })
}
