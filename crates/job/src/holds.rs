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
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks for each waiting job, so that the checks take a small part of the time of
/// the planning passes in between, which are less frequent the more jobs wait.
const JOB_CHECK_INTERVAL: Duration = Duration::from_millis(1);
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(3);

fn count_by_group(tasks: impl Iterator<Item = TaskId>) -> BTreeMap<GroupId, u64> {
    let mut counts = BTreeMap::new();
    for task in tasks {
        *counts.entry(task.group_id()).or_default() += 1;
    }
    counts
}

impl Scheduler {
    /// Why a job with ready tasks does not start them; the reason that is hardest to overcome if
    /// there are several. `None` if they are about to start, or if the job waits for its own tasks, a
    /// permit or a rack. Only the leader knows.
    pub fn hold_reason(&self, table: &Table, job: JobId) -> Option<HoldReason> {
        let config = table.config.as_ref().filter(|_| self.leads())?;
        let jobs = self.open_jobs.iter().chain(&self.late_jobs).chain([&job]).copied().collect();
        let proposed = count_by_group(self.claiming.iter().map(|(task, _)| *task));
        let (now, unix) = (self.last_planned, self.holds.unix);
        let holds = self.holds(now, unix, &jobs, &proposed, table, config);
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
        claims: &[Claim],
        effects: &mut Vec<Effect>,
    ) {
        self.holds.unix = unix;
        if config.organisations.is_empty() || now < self.holds.next {
            return;
        }
        let jobs = self.open_jobs.union(&self.late_jobs).copied().collect();
        let proposed = count_by_group(claims.iter().map(|claim| claim.task));
        let mut held = BTreeMap::<&Name, Held>::new();
        for Hold { group, reason, tasks } in self.holds(now, unix, &jobs, &proposed, table, config)
        {
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
        let by_jobs = JOB_CHECK_INTERVAL * jobs.len() as u32;
        let interval = if held.is_empty() { CHECK_INTERVAL } else { LINE_INTERVAL };
        self.holds.next = now + interval.max(by_jobs.min(MAX_CHECK_INTERVAL));
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

    /// The groups of the given jobs with ready tasks that do not start. `proposed` is the number of
    /// tasks that are being claimed, by group.
    fn holds<'a>(
        &self,
        now: Time,
        unix: UnixMs,
        jobs: &'a BTreeSet<JobId>,
        proposed: &BTreeMap<GroupId, u64>,
        table: &'a Table,
        config: &'a Config,
    ) -> Vec<Hold<'a>> {
        let mut ready = Vec::new();
        let mut lowest = BTreeMap::<(&Name, Rank), u64>::new();
        let shares = self.shares(now, config);
        for group in self.ready_groups(unix, jobs, table, config) {
            let being_claimed = proposed.get(&group.group_id).copied().unwrap_or_default();
            let tasks = u64::from(group.waiting()).saturating_sub(being_claimed);
            if tasks == 0 {
                continue;
            }
            let limit = self.limit_hold(config, &group);
            let share = shares.as_ref().map_or(0, |shares| shares.share_of(&self.ledger, &group));
            if limit.is_none() {
                let lowest = lowest.entry((&group.queue.pool, group.rank())).or_insert(u64::MAX);
                *lowest = share.min(*lowest);
            }
            ready.push((group, tasks, limit, share));
        }
        let pools = ready.iter().map(|(group, ..)| &group.queue.pool).collect();
        let free = self.free_by_pool(now, &pools);
        let reason = |group: &ReadyGroup, share: u64| {
            if !self.is_held_as_late(group)
                && free.get(&group.queue.pool).is_some_and(|free| free.has_room(group.group()))
            {
                return None;
            }
            let lowest = lowest.get(&(&group.queue.pool, group.rank()));
            let is_lowest = lowest.is_none_or(|lowest| share <= *lowest);
            Some(if is_lowest { HoldReason::Room } else { HoldReason::Share })
        };
        let held = ready.into_iter().filter_map(|(group, tasks, limit, share)| {
            let reason = limit.or_else(|| reason(&group, share))?;
            Some(Hold { group, reason, tasks })
        });
        held.collect()
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

    /// Free resources of the usable instances of the given pools.
    fn free_by_pool<'a>(
        &'a self,
        now: Time,
        pools: &BTreeSet<&Name>,
    ) -> BTreeMap<&'a Name, FreeInstances<'a>> {
        let mut free = BTreeMap::<_, FreeInstances>::new();
        for instance in self.instances.values().filter(|instance| instance.is_usable(now)) {
            let Some(announcement) = &instance.announcement else { continue };
            if pools.contains(&announcement.pool) {
                let pool = free.entry(&announcement.pool).or_default();
                pool.largest = pool.largest.max(instance.free());
                pool.instances.push((&announcement.labels, instance.free()));
            }
        }
        free
    }
}

/// Usable instances of a pool.
#[derive(Default)]
struct FreeInstances<'a> {
    /// The most that any of them has free, by resource.
    largest: Resources,
    /// Their labels and free resources.
    instances: Vec<(&'a [Name], Resources)>,
}

impl FreeInstances<'_> {
    /// Whether an instance has room for a task of `group`.
    fn has_room(&self, group: &Group) -> bool {
        let reserved = group.reserved();
        let fits =
            |(labels, free): &(&[Name], Resources)| reserved.fits(*free) && group.accepts(labels);
        reserved.fits(self.largest) && self.instances.iter().any(fits)
    }
}
