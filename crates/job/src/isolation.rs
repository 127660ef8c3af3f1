//! Keeps tasks that may crash their instances apart from others.
//!
//! The load: some jobs of a queue contain a task that crashes each instance that starts it. An
//! instance is back after seconds, so a few such tasks empty a pool, and each crash takes the tasks
//! of a dozen other jobs with it. Suspects are therefore many, and most are innocent: they get
//! instances of their own, but only a part of the pool, and not for long.

use super::*;
use {
    planning::{Host, ReadyGroup},
    rebalancing::PoolBalance,
    scheduler::note,
};

/// Age up to which an attempt has just started, with the delays of the messages about its start and
/// about the crash.
const STARTING: Duration = Duration::from_millis(250);
/// Age of an attempt from which a crash of its instance is no proof against it, and from which it
/// need not have its instance to itself.
const PROBATION: Duration = Duration::from_secs(1);
/// Part of the usable instances of a pool that run suspects, as a divisor.
const MAX_SHARE_DIVISOR: usize = 2;
/// Time after the last crash for which a suspect waits for an empty instance, in milliseconds. A
/// continuous task has to run again within 6 s.
const PATIENCE_MS: UnixMs = 2000;

/// Where the tasks of a group may be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Isolation {
    /// Beside any others.
    None,
    /// Of a suspect job: on an empty instance, which gets no others.
    Empty,
    /// Of a suspect job that has waited: on the emptiest instance, which gets no others.
    Emptiest,
}

impl Instance {
    /// When it crashed, given that this is known at `now`; `None` if it had been silent before.
    pub(crate) fn crash_time(&self, now: Time) -> Option<Time> {
        let heard_lately = (now < self.last_heard + STARTING).then_some(self.last_heard);
        self.broken_since.or(heard_lately)
    }

    /// How each attempt on board ended, given that the instance crashed at `crashed_at`.
    ///
    /// An attempt is known to have run until the crash only if the time of the crash is known: an
    /// instance that was silent may have ended it, and then crashed. If some attempts had just
    /// started, one of them is a likelier cause than those that had worked for a while. A long-lived
    /// task is on board of whatever happens to its instances, so that only a crash soon after its
    /// start counts against it.
    pub(crate) fn crash_reasons(&self, crashed_at: Option<Time>) -> BTreeMap<TaskId, EndReason> {
        let is_on_board = |attempt: &Attempt| {
            attempt.end_if_absent == EndReason::Lost
                && !matches!(attempt.stage, Stage::Ending | Stage::Proposed)
        };
        let on_board: Vec<_> =
            self.attempts.iter().filter(|(_, attempt)| is_on_board(attempt)).collect();
        let jobs: BTreeSet<_> = on_board.iter().map(|(task, _)| task.job).collect();
        let alone = jobs.len() == 1;
        let runs = |attempt: &Attempt| attempt.stage == Stage::Running;
        let is_younger_than = |attempt: &Attempt, age: Duration| {
            let is_age_known = attempt.stage != Stage::Recovered && attempt.adopted_at.is_none();
            is_age_known && crashed_at.is_some_and(|at| at < attempt.started + age)
        };
        let just_started = |attempt: &Attempt| !runs(attempt) || is_younger_than(attempt, STARTING);
        let any_just_started = on_board.iter().any(|(_, attempt)| just_started(attempt));
        let reason = |attempt: &Attempt| {
            let age = if any_just_started { STARTING } else { PROBATION };
            // The answer to its start may be that of a later incarnation, unless connections broke
            // after it.
            let has_run = attempt.confirmed || attempt.answered || self.broken_since.is_some();
            if runs(attempt) && has_run && is_younger_than(attempt, age) {
                EndReason::Crashed { alone }
            } else if attempt.long_lived && !is_younger_than(attempt, PROBATION) {
                EndReason::Lost
            } else {
                EndReason::Vanished
            }
        };
        let reasons = on_board.into_iter().map(|(task, attempt)| (*task, reason(attempt)));
        let earlier = self.attempts.iter().map(|(task, attempt)| (*task, attempt.end_if_absent));
        reasons.chain(earlier.filter(|(_, reason)| *reason != EndReason::Lost)).collect()
    }

    /// How the attempts on board ended, given that the lease is over; those that are missing are lost.
    /// An instance that is only silent runs on, so its silence says nothing about its tasks. It has
    /// crashed if connections broke, or if this leader has never heard from it and the platform does
    /// not list it.
    pub(crate) fn lapse_reasons(&self, is_unlisted: bool) -> BTreeMap<TaskId, EndReason> {
        let is_gone = self.announcement.is_none() && is_unlisted;
        let mut reasons = self.crash_reasons(self.broken_since);
        reasons.retain(|task, _| {
            let Attempt { started, end_if_absent, .. } = &self.attempts[task];
            let broke_at_start = self.broken_since.is_some_and(|at| at < *started + PROBATION);
            is_gone || broke_at_start || *end_if_absent != EndReason::Lost
        });
        reasons
    }

    /// The suspect job that has the instance to itself.
    pub(crate) fn isolated_for(&self, now: Time) -> Option<JobId> {
        if self.isolated == 0 {
            return None;
        }
        let isolated = |attempt: &Attempt| attempt.isolated && now < attempt.started + PROBATION;
        let (task, _) = self.attempts.iter().find(|(_, attempt)| isolated(attempt))?;
        Some(task.job)
    }
}

impl JobRecord {
    /// Where its tasks may be placed at `unix`.
    pub(crate) fn isolation(&self, unix: UnixMs) -> Isolation {
        // The clock of an earlier leader may have been ahead.
        let since_crash = unix.abs_diff(self.crashed_at);
        if !self.is_suspect() || self.spec.is_continuous() && since_crash > Crashes::VALIDITY_MS {
            Isolation::None
        } else if since_crash < PATIENCE_MS {
            Isolation::Empty
        } else {
            Isolation::Emptiest
        }
    }
}

impl Host {
    /// Whether tasks of a job may be placed here. `may_take` tells whether a suspect job may have
    /// another instance to itself.
    pub(crate) fn admits(&self, job: JobId, isolation: Isolation, may_take: bool) -> bool {
        if let Some(other) = self.isolated_for {
            return isolation != Isolation::None && other == job;
        }
        match isolation {
            Isolation::None => !self.kept_free,
            Isolation::Empty => may_take && self.attempts == 0,
            Isolation::Emptiest => may_take,
        }
    }
}

/// Log entry about the evidence against a task, after an attempt that ended with its instance.
pub(crate) fn crash_note(table: &Table, end: &AttemptEnd) -> Option<Effect> {
    let AttemptEnd { task, number, reason, .. } = end;
    let kind = match reason {
        EndReason::Crashed { alone: true } => "crashed without other jobs on board",
        EndReason::Crashed { alone: false } => "crashed beside other jobs",
        EndReason::Vanished => "may have crashed",
        _ => return None,
    };
    let record = table.jobs.get(&task.job)?;
    let Crashes { proven, possible } = record.task_state(*task)?.crashes;
    let state = record.state;
    let why = format!("{kind}; {proven} proven, {possible} possible; the job is {state}");
    Some(note("task-crashed", format!("{task} {number}"), why))
}

/// Log entries about the evidence that earlier leaders recorded against the tasks of a job.
pub(crate) fn inherited_notes(job: JobId, record: &JobRecord) -> Vec<Effect> {
    let mut notes = Vec::new();
    if record.crashed_at == 0 {
        return notes;
    }
    for (round, groups) in record.rounds.iter_begun() {
        for (group, tasks) in (0..).zip(&groups.groups) {
            for (index, task_state) in (0..).zip(tasks) {
                let Crashes { proven, possible } = task_state.crashes;
                if task_state.crashes != Crashes::default() {
                    let task = TaskId { job, round, group, index };
                    let why = format!("{proven} proven, {possible} possible by earlier leaders");
                    notes.push(note("evidence-inherited", task.to_string(), why));
                }
            }
        }
    }
    notes
}

impl Scheduler {
    /// Racks on which several instances crashed at the same time and no other is left. Their tasks
    /// are not the cause.
    pub(crate) fn lost_racks(&self, now: Time, crashed: &[Incarnation]) -> BTreeSet<Name> {
        let mut times = BTreeMap::<Name, Vec<Option<Time>>>::new();
        let mut others = BTreeSet::new();
        for (incarnation, instance) in &self.instances {
            let Some(rack) = instance.announcement.as_ref().and_then(Announcement::rack) else {
                continue;
            };
            if crashed.contains(incarnation) {
                times.entry(rack.clone()).or_default().push(instance.crash_time(now));
            } else {
                others.insert(rack);
            }
        }
        let at_once = |times: &[Option<Time>]| {
            let known = || times.iter().flatten();
            let spread = known().max().zip(known().min()).map(|(last, first)| *last - *first);
            times.len() > 1 && spread.is_none_or(|spread| spread < STARTING)
        };
        times.retain(|rack, times| !others.contains(rack) && at_once(times));
        times.into_keys().collect()
    }
}

/// Whether another instance may run suspects.
pub(crate) fn may_isolate(hosts: &[Host]) -> bool {
    let isolated = hosts.iter().filter(|host| host.isolated_for.is_some()).count();
    isolated < (hosts.len() / MAX_SHARE_DIVISOR).max(1)
}

/// Keeps an instance of each pool free of new tasks of others if suspects wait there and none is
/// empty: the one with the fewest attempts, of which none runs for long.
pub(crate) fn keep_hosts_free<'a>(
    suspects: impl Iterator<Item = &'a ReadyGroup<'a>>,
    hosts: &mut BTreeMap<Name, Vec<Host>>,
) {
    for suspect in suspects {
        let Some(hosts) = hosts.get_mut(&suspect.queue.pool) else { continue };
        let job = suspect.group_id.job;
        let has_host =
            hosts.iter().any(|host| host.kept_free || host.admits(job, Isolation::Empty, true));
        if has_host || !may_isolate(hosts) {
            continue;
        }
        let can_empty = |host: &&mut Host| host.long_lived == 0 && host.isolated_for.is_none();
        let emptiest = hosts.iter_mut().filter(can_empty).min_by_key(|host| host.attempts);
        if let Some(host) = emptiest {
            host.kept_free = true;
        }
    }
}

impl PoolBalance {
    /// Asks for an instance beside the busy ones while suspects wait.
    pub(crate) fn add_room_for_suspects(&mut self) {
        if self.suspects > 0 {
            self.min_machines = self.min_machines.max(self.busy + 1);
        }
    }
}
