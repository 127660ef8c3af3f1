//! Finds out why ready tasks do not start: for operators who ask about a job, and for a log line at
//! most once a second for each organisation.

use super::*;
use {
    planning::{Rank, ReadyGroup},
    scheduler::note,
};

/// When holds were last looked for.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    /// When they are next looked for.
    next: Time,
    /// Time of the latest planning pass.
    unix: UnixMs,
}

/// Tasks of a group that are ready and do not start.
struct Hold<'a> {
    group: ReadyGroup<'a>,
    reason: HoldReason,
    tasks: u64,
}

/// Holds of an organisation, for its log line.
#[derive(Default)]
struct Held {
    by_limit: u64,
    by_share: u64,
    /// First gang that exceeds the limit.
    gang: Option<GroupId>,
}

/// Time between two log lines about the same organisation.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which holds are looked for while there are none.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Why a job with ready tasks does not start them; the reason that is hardest to overcome if
    /// there are several. `None` if they are about to start, or if the job waits for its own tasks, a
    /// permit or a rack. Only the leader knows.
    pub fn hold_reason(&self, table: &Table, job: JobId) -> Option<HoldReason> {
        let config = table.config.as_ref().filter(|_| self.leads())?;
        let jobs = self.open_jobs.iter().chain(&self.late_jobs).chain([&job]).copied().collect();
        let holds = self.holds(self.last_planned, self.holds.unix, &jobs, table, config);
        let own = holds.iter().filter(|hold| hold.group.group_id.job == job);
        own.map(|hold| hold.reason).max()
    }

    /// Logs which organisations have starts held back by their limit or by the shares of others.
    pub(crate) fn note_holds(
        &mut self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        config: &Config,
        effects: &mut Vec<Effect>,
    ) {
        self.holds.unix = unix;
        if config.organisations.is_empty() || now < self.holds.next {
            return;
        }
        let jobs = self.open_jobs.union(&self.late_jobs).copied().collect();
        let mut held = BTreeMap::<&Name, Held>::new();
        for Hold { group, reason, tasks } in self.holds(now, unix, &jobs, table, config) {
            let Some((name, _)) = group.organisation(config) else { continue };
            match reason {
                HoldReason::Room => {}
                HoldReason::Share => held.entry(name).or_default().by_share += tasks,
                HoldReason::Limit => held.entry(name).or_default().by_limit += tasks,
                HoldReason::GangOverLimit => {
                    let held = held.entry(name).or_default();
                    held.by_limit += tasks;
                    held.gang.get_or_insert(group.group_id);
                }
            }
        }
        let interval = if held.is_empty() { CHECK_INTERVAL } else { LINE_INTERVAL };
        self.holds.next = now + interval;
        for (name, Held { by_limit, by_share, gang }) in held {
            let limit = config.organisation(name).map(|each| each.limit).unwrap_or_default();
            let usage = self.ledger.at_work(Some(name));
            let mut why = format!(
                "{by_limit} tasks wait for the limit, {by_share} for the shares of others; limit \
                 {limit} (0 is none), at work {usage}, configuration {}",
                config.version
            );
            if let Some(gang) = gang {
                why += &format!("; gang {gang} exceeds the limit and waits until it is raised");
            }
            effects.push(note("starts-held", name.to_string(), why));
        }
    }

    /// The groups of the given jobs with ready tasks that do not start.
    fn holds<'a>(
        &self,
        now: Time,
        unix: UnixMs,
        jobs: &'a BTreeSet<JobId>,
        table: &'a Table,
        config: &'a Config,
    ) -> Vec<Hold<'a>> {
        let mut ready: Vec<_> = self.ready_groups(unix, jobs, table, config);
        ready.retain(|group| self.ready_tasks(group) > 0);
        let pools = ready.iter().map(|group| &group.queue.pool).collect();
        let free = self.free_by_pool(now, &pools);
        let shares = self.shares(now, config);
        let share = |group: &ReadyGroup| {
            shares.as_ref().map_or(0, |shares| shares.share_of(&self.ledger, group))
        };
        let mut lowest = BTreeMap::<(&Name, Rank), u64>::new();
        for group in &ready {
            if self.limit_hold(config, group).is_none() {
                let lowest = lowest.entry((&group.queue.pool, group.rank())).or_insert(u64::MAX);
                *lowest = share(group).min(*lowest);
            }
        }
        let reason = |group: &ReadyGroup| {
            let limit = self.limit_hold(config, group);
            if limit.is_some() {
                return limit;
            }
            let reserved = group.group().reserved();
            let free = free.get(&group.queue.pool).map_or(&[][..], Vec::as_slice);
            let has_room = free
                .iter()
                .any(|(labels, free)| reserved.fits(*free) && group.group().accepts(labels));
            if has_room && !self.is_held_as_late(group) {
                return None;
            }
            let lowest = lowest.get(&(&group.queue.pool, group.rank()));
            let is_lowest = lowest.is_none_or(|lowest| share(group) <= *lowest);
            Some(if is_lowest { HoldReason::Room } else { HoldReason::Share })
        };
        let reasons: Vec<_> = ready.iter().map(reason).collect();
        let held = ready.into_iter().zip(reasons);
        held.filter_map(|(group, reason)| {
            Some(Hold { reason: reason?, tasks: self.ready_tasks(&group), group })
        })
        .collect()
    }

    /// Whether the limit of its organisation holds a group back.
    fn limit_hold(&self, config: &Config, ready_group: &ReadyGroup) -> Option<HoldReason> {
        let (name, organisation) = ready_group.organisation(config)?;
        let group = ready_group.group();
        if group.is_gang() && organisation.exceeds_limit(group.smallest_start()) {
            return Some(HoldReason::GangOverLimit);
        }
        let admitted = self.ledger.admitted(name, organisation, ready_group.group_id, group);
        (admitted == 0).then_some(HoldReason::Limit)
    }

    /// Number of tasks of a group that are ready and not assigned to an instance.
    fn ready_tasks(&self, ready_group: &ReadyGroup) -> u64 {
        let GroupId { job, round, group } = ready_group.group_id;
        let first = TaskId { job, round, group, index: 0 };
        let last = TaskId { index: u16::MAX, ..first };
        let assigned = self.assigned.range(first..=last);
        let is_waiting = |task: &TaskId| {
            let state = ready_group.record.task_state(*task);
            state.is_some_and(|state| state.phase == Phase::Waiting)
        };
        let proposed = assigned.filter(|(task, _)| is_waiting(task)).count() as u64;
        u64::from(ready_group.waiting()).saturating_sub(proposed)
    }

    /// Labels and free resources of the usable instances of the given pools.
    fn free_by_pool<'a>(
        &'a self,
        now: Time,
        pools: &BTreeSet<&Name>,
    ) -> BTreeMap<&'a Name, Vec<(&'a [Name], Resources)>> {
        let mut free = BTreeMap::<_, Vec<_>>::new();
        for instance in self.instances.values().filter(|instance| instance.is_usable(now)) {
            let Some(announcement) = &instance.announcement else { continue };
            if pools.contains(&announcement.pool) {
                let labels = &announcement.labels[..];
                free.entry(&announcement.pool).or_default().push((labels, instance.free()));
            }
        }
        free
    }
}
