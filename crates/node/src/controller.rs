//! What only the leader does for the fleet: it advances fleet time, tracks drains, runs the
//! planner, and calls the platform.

use super::*;

/// Interval at which fleet time is written to the log if no other command carries it.
const TICK_INTERVAL: Duration = Duration::from_secs(10);

/// The interval while any instance holds a maintenance grant, whose phases are timed in fleet time.
const GRANT_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which an unaccepted call to the platform is repeated.
const CALL_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Lower bound of the longest request deadline, which also applies if no kind of request is
/// configured.
const MIN_LONGEST_DEADLINE: Duration = Duration::from_secs(1);

/// Volatile state of the leader; a new leader starts afresh.
#[derive(Debug, Default)]
pub(crate) struct Controller {
    /// When this daemon became leader, and the fleet time at that moment.
    leading_since: Option<(Time, Time)>,
    pub(crate) drains: Drains,
    /// Time of the last attempt of each platform call, by id.
    last_calls: BTreeMap<Name, Time>,
}

impl Controller {
    /// Resets the state after a change of leader; `fleet` is given if this daemon is the new
    /// leader.
    pub(crate) fn start_leading(&mut self, now: Time, fleet: Option<&fleet::State>) {
        *self = Self { leading_since: fleet.map(|fleet| (now, fleet.now())), ..Self::default() };
    }

    /// Current fleet time. It advances with the leader's clock, and never goes back.
    pub(crate) fn fleet_time(&self, now: Time, fleet: &fleet::State) -> Time {
        let (leading_since, base) = self.leading_since.unwrap_or((now, fleet.now()));
        fleet.now().max(base + now.saturating_sub(leading_since))
    }

    /// Commands for the leader to propose now.
    pub(crate) fn commands(
        &mut self,
        now: Time,
        fleet: &fleet::State,
        members: &BTreeSet<Name>,
    ) -> Vec<fleet::Command> {
        let at = self.fleet_time(now, fleet);
        self.drains.set_current(now, draining_instances(fleet));
        let completed = self.drains.completed(now, members, longest_deadline(fleet));
        let drained = completed.into_iter().map(|(instance, epoch)| {
            let action = fleet::Action::Drained;
            fleet::Command::Step(fleet::Step { instance, epoch, action, at })
        });
        let mut commands: Vec<_> = drained.collect();
        commands.extend(fleet::Planner::plan(fleet, at));
        let granted = fleet.upstreams().values().any(|upstream| upstream.grant.is_some());
        let tick = if granted { GRANT_TICK_INTERVAL } else { TICK_INTERVAL };
        if commands.is_empty() && at >= fleet.now() + tick {
            commands.push(fleet::Command::Tick { at });
        }
        commands
    }

    /// Platform calls that are due, new or repeated.
    pub(crate) fn platform_calls(
        &mut self,
        now: Time,
        fleet: &fleet::State,
    ) -> Vec<platform::Call> {
        let calls: Vec<_> = fleet.upstreams().values().filter_map(reboot_call).collect();
        self.last_calls.retain(|id, _| calls.iter().any(|call| call.id == *id));
        let due = calls.into_iter().filter(|call| {
            let last = self.last_calls.get(&call.id);
            last.is_none_or(|last| *last + CALL_RETRY_INTERVAL <= now)
        });
        let due: Vec<_> = due.collect();
        self.last_calls.extend(due.iter().map(|call| (call.id.clone(), now)));
        due
    }

    /// The command that results from the platform's answer, if it accepted the call.
    pub(crate) fn on_platform_report(
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

/// Instances that are draining, with their epochs.
pub(crate) fn draining_instances(fleet: &fleet::State) -> BTreeSet<(Name, fleet::Epoch)> {
    let draining = fleet.upstreams().iter().filter(|(_, upstream)| upstream.is_draining());
    draining.map(|(name, upstream)| (name.clone(), upstream.epoch)).collect()
}

/// Longest deadline of a request, after which no request of a silent daemon can be in flight.
fn longest_deadline(fleet: &fleet::State) -> Duration {
    let deadlines = fleet.config().kinds.values().map(|kind| kind.deadline);
    deadlines.max().unwrap_or_default().max(MIN_LONGEST_DEADLINE)
}

/// The platform call that reboots `upstream`, if a reboot is due and not accepted yet.
fn reboot_call(upstream: &fleet::Upstream) -> Option<platform::Call> {
    let phase = &upstream.grant.as_ref()?.phase;
    let fleet::Phase::Rebooting { incarnation, accepted: false } = *phase else { return None };
    let (instance, epoch) = (upstream.announcement.instance.clone(), upstream.epoch);
    // The epochs of an instance start anew once it was forgotten.
    let id = format!("{instance}-{incarnation}-{epoch}").into();
    Some(platform::Call { id, action: platform::Action::Reboot { instance, incarnation, epoch } })
}
