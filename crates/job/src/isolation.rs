//! Keeps tasks that may crash their instances apart from others.
//!
//! The load: some jobs of a queue contain a task that crashes each instance that starts it. An
//! instance is back after seconds, so a few such tasks empty a pool, and each crash takes the tasks
//! of a dozen other jobs with it. All of these are suspects afterwards, so they are many, and most
//! are innocent: they get instances of their own, but only a part of the pool, and not for long.

use super::*;
use {
    planning::{Host, ReadyGroup},
    rebalancing::PoolBalance,
    scheduler::note,
};

/// Age of an attempt from which a crash of its instance is no proof against it, and from which it
/// need not have its instance to itself.
const PROBATION: Duration = Duration::from_secs(3);
/// Longest time from the break of the connections until the platform lists a crash.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(2);
/// Part of the usable instances of a pool that run suspects, as a divisor.
const MAX_SHARE_DIVISOR: usize = 4;
/// Time after the last crash for which a suspect waits for an instance of its own, in milliseconds.
const PATIENCE_MS: UnixMs = 6000;
/// The same for a continuous task, whose users miss it all the while.
const PATIENCE_CONTINUOUS_MS: UnixMs = 2000;

impl Instance {
    /// How each attempt on board ended, given that the instance is known at `now` to have crashed.
    ///
    /// An attempt is known to have run until the crash only if connections broke shortly before: an
    /// instance that was silent may have ended it, and then crashed.
    pub(crate) fn crash_reasons(&self, now: Time) -> BTreeMap<TaskId, EndReason> {
        let on_board =
            |attempt: &Attempt| !matches!(attempt.stage, Stage::Ending | Stage::Proposed);
        let on_board: Vec<_> =
            self.attempts.iter().filter(|(_, attempt)| on_board(attempt)).collect();
        let jobs: BTreeSet<_> = on_board.iter().map(|(task, _)| task.job).collect();
        let alone = jobs.len() == 1;
        let crashed_at = self.broken_since.filter(|since| now <= *since + MAX_DETECTION_TIME);
        let reason = |attempt: &Attempt| {
            let is_young = crashed_at.is_some_and(|at| at < attempt.started + PROBATION);
            if attempt.stage == Stage::Running && is_young {
                EndReason::Crashed { alone }
            } else {
                EndReason::Vanished
            }
        };
        on_board.into_iter().map(|(task, attempt)| (*task, reason(attempt))).collect()
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
    /// Whether the tasks of `group` start only where no other job runs.
    pub(crate) fn runs_apart(&self, unix: UnixMs, group: &Group) -> bool {
        let patience = if group.is_long_lived() { PATIENCE_CONTINUOUS_MS } else { PATIENCE_MS };
        self.is_suspect() && unix < self.crashed_at + patience
    }
}

impl Host {
    /// Whether tasks of a job may be placed here. `apart` tells whether the job must not run beside
    /// others, `may_take` whether it may have another instance to itself.
    pub(crate) fn admits(&self, job: JobId, apart: bool, may_take: bool) -> bool {
        match self.isolated_for {
            Some(other) => apart && other == job,
            None if apart => may_take && self.attempts == 0,
            None => !self.kept_free,
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
        let has_host = hosts.iter().any(|host| host.kept_free || host.admits(job, true, true));
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
