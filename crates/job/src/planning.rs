//! Which waiting task starts where.
//!
//! Demand comes in turns of about five times its mean, more than a pool holds. A queue that serves
//! such a turn in the order of arrival makes every job late; here a job that has begun is finished
//! first, then those go ahead that can still make it in time, the most urgent one first, and the late ones
//! take what is left.

use super::*;
use scheduler::note;

/// A group of tasks that may start now.
#[derive(Debug)]
pub(crate) struct Demand<'a> {
    key: Key,
    group_id: GroupId,
    record: &'a JobRecord,
    pub(crate) queue: &'a Queue,
}

impl Demand<'_> {
    /// A line about tasks of the group that were given to instances.
    fn placed(&self, tasks: usize) -> Effect {
        let Key { class, slack, .. } = self.key;
        let why = format!("{tasks} tasks, {class:?}, {slack} ms to spare");
        note("group-placed", self.group_id.to_string(), why)
    }
}

/// Order in which groups get room; a lower one comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    class: Class,
    priority: u8,
    begun: std::cmp::Reverse<bool>,
    /// Milliseconds that are left until it must have started.
    slack: u64,
}

/// When a round is wanted, and what is left of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outlook {
    /// Milliseconds from the time that it was due.
    objective: u64,
    /// Milliseconds of the longest chain through what is not done yet.
    left: u64,
}

impl Outlook {
    /// How many times its objective a job may take and still earn a little.
    const LATE_FACTOR: u64 = 3;

    /// Where a group of the round stands in the order of planning.
    pub(crate) fn key(self, unix: UnixMs, due: Due, group: &Group) -> Key {
        let Self { objective, left } = self;
        let Due { record, round, queue, .. } = due;
        let age = unix.saturating_sub(due.at);
        let class = if group.best_effort {
            Class::Filler
        } else if group.long_running {
            Class::Lasting
        } else if age + left <= objective {
            Class::InTime
        } else if age + left <= objective * Self::LATE_FACTOR {
            Class::Late
        } else {
            Class::Owed
        };
        let whole: u16 = record.spec.groups.iter().map(|group| group.count).sum();
        let begun = round.waiting.iter().sum::<u16>() < whole;
        let slack = objective.saturating_sub(age + left);
        Key { class, priority: queue.priority, begun: std::cmp::Reverse(begun), slack }
    }
}

/// How much a group is still worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Runs until it is cancelled, and earns all the while.
    Lasting,
    /// Can be done within its objective.
    InTime,
    /// Can be done within three times its objective.
    Late,
    /// Is owed, and earns nothing any more.
    Owed,
    /// Takes only what others leave idle.
    Filler,
}

/// An instance on which tasks may be placed.
#[derive(Debug)]
struct Site {
    incarnation: Incarnation,
    labels: Vec<Name>,
    free: Resources,
    /// Attempts that stay for long.
    staying: usize,
    /// Whether a task there serves users of its own.
    serves: bool,
}

impl Site {
    fn rack(&self) -> Option<&Name> {
        self.labels.get(1)
    }
}

/// Sizes that found no room, so that the next ones of a pool are not tried.
type Misfits<'a> = Vec<(&'a str, Resources)>;

impl Scheduler {
    pub(crate) fn plan(
        &mut self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) -> Vec<Claim> {
        let Some(config) = &table.config else { return Vec::new() };
        let mut demands = self.demands(unix, table, config);
        if demands.is_empty() {
            return Vec::new();
        }
        demands.sort_by_key(|demand| (demand.key, demand.group_id));
        let mut sites = self.sites(now);
        let mut claims = Vec::new();
        let mut misfits = Misfits::new();
        for demand in demands {
            let Some(sites) = sites.get_mut(&demand.queue.pool) else { continue };
            let before = claims.len();
            self.place(now, &demand, sites, &mut misfits, &mut claims);
            if claims.len() > before {
                effects.push(demand.placed(claims.len() - before));
            }
        }
        claims
    }

    /// Instances on which tasks may be placed, by pool.
    fn sites(&self, now: Time) -> BTreeMap<Name, Vec<Site>> {
        let mut sites = BTreeMap::<Name, Vec<Site>>::new();
        for (incarnation, instance) in &self.instances {
            let Some(announcement) = instance.announcement.as_ref() else { continue };
            if instance.is_usable(now) {
                sites.entry(announcement.pool.clone()).or_default().push(Site {
                    incarnation: incarnation.clone(),
                    labels: announcement.labels.clone(),
                    free: instance.free(),
                    staying: instance.attempts.values().filter(|a| a.stays).count(),
                    serves: instance.attempts.values().any(|a| a.serves),
                });
            }
        }
        sites
    }

    pub(crate) fn demands<'a>(
        &self,
        unix: UnixMs,
        table: &'a Table,
        config: &'a Config,
    ) -> Vec<Demand<'a>> {
        let mut demands = Vec::new();
        for due in Due::all(table, config, |_| Some(unix)) {
            let ready = due.waiting().filter(|(_, group)| due.round.is_unblocked(group));
            let mut outlook = None;
            for (position, group) in ready {
                let outlook = *outlook.get_or_insert_with(|| self.outlook(due));
                let (key, group_id) = (outlook.key(unix, due, group), due.group_id(position));
                demands.push(Demand { key, group_id, record: due.record, queue: due.queue });
            }
        }
        demands
    }

    /// Whether a round can still be done within its objective; one that lasts always is.
    pub(crate) fn is_in_time(&self, unix: UnixMs, due: Due) -> bool {
        let Outlook { objective, left } = self.outlook(due);
        due.record.spec.is_long_running() || unix.saturating_sub(due.at) + left <= objective
    }

    /// What is expected of a round.
    pub(crate) fn outlook(&self, due: Due) -> Outlook {
        let Due { record, round, queue, .. } = due;
        let groups = &record.spec.groups;
        let delay = queue.admission.map_or(Duration::ZERO, |admission| admission.delay());
        let mut whole: Vec<Duration> = Vec::with_capacity(groups.len());
        let mut open: Vec<Duration> = Vec::with_capacity(groups.len());
        for (position, group) in groups.iter().enumerate() {
            let own = self.durations.expect(&queue.name, due.group_id(position as u16), group);
            let before = |ends: &[Duration]| {
                let before = group.after.iter().filter_map(|i| ends.get(usize::from(*i))).max();
                before.copied().unwrap_or_default()
            };
            whole.push(before(&whole) + delay + own);
            let own = if round.open[position] == 0 { Duration::ZERO } else { own };
            open.push(before(&open) + own);
        }
        let critical_path = whole.into_iter().max().unwrap_or_default();
        Outlook {
            objective: queue.objective(critical_path).as_millis() as u64,
            left: open.into_iter().max().unwrap_or_default().as_millis() as u64,
        }
    }

    fn place<'a>(
        &mut self,
        now: Time,
        demand: &Demand<'a>,
        sites: &mut [Site],
        misfits: &mut Misfits<'a>,
        claims: &mut Vec<Claim>,
    ) {
        let GroupId { job, round, group: position } = demand.group_id;
        let group = &demand.record.spec.groups[usize::from(position)];
        let reserved = group.reserved();
        let known = |(pool, size): &(&str, Resources)| {
            *pool == &*demand.queue.pool && size.fits(reserved) && group.requirement.is_none()
        };
        let late = matches!(demand.key.class, Class::Late | Class::Owed);
        // Machines are wanted where jobs can still be done in time.
        if late && !self.lacking.is_empty() || misfits.iter().any(known) {
            return;
        }
        let Some(state) = demand.record.rounds.get(round as usize) else { return };
        let task_states = &state.groups[usize::from(position)];
        if group.gang && usize::from(state.waiting[usize::from(position)]) < task_states.len() {
            return;
        }
        let gang_number =
            task_states.iter().map(|task_state| task_state.number).max().unwrap_or(0) + 1;
        let first = claims.len();
        let mut rack = None;
        for (index, task_state) in task_states.iter().enumerate() {
            let task = TaskId { job, round, group: position, index: index as u16 };
            if task_state.phase != Phase::Waiting || self.placed.contains_key(&task) {
                continue;
            }
            let Some(site) = self.choose(now, demand, group, task, rack.as_ref(), sites) else {
                let free = group.max_per_instance.is_none() && group.data_rack.is_none();
                let free = free && demand.queue.admission.is_none();
                if free && group.requirement.is_none() && rack.is_none() {
                    misfits.push((&demand.queue.pool, reserved));
                }
                break;
            };
            let site = &mut sites[site];
            let number = if group.gang { gang_number } else { task_state.number + 1 };
            let incarnation = site.incarnation.clone();
            self.put(&incarnation, task, Attempt::new(number, Stage::Proposed, Some(group), now));
            site.free = site.free.saturating_sub(reserved);
            site.staying += usize::from(group.is_long_lived());
            site.serves |= group.latency_target.is_some();
            if group.rack_local {
                rack = site.rack().cloned();
            }
            claims.push(Claim { task, number, incarnation });
        }
        if group.gang && claims.len() - first < task_states.len() {
            for claim in claims.drain(first..) {
                self.take(&claim.task, claim.number);
                let site = sites.iter_mut().find(|site| site.incarnation == claim.incarnation);
                if let Some(site) = site {
                    site.free += reserved;
                    site.staying -= usize::from(group.is_long_lived());
                }
            }
        }
    }

    /// The fullest site that fits, near the data while there is time to wait for it.
    fn choose(
        &self,
        now: Time,
        demand: &Demand,
        group: &Group,
        task: TaskId,
        rack: Option<&Name>,
        sites: &[Site],
    ) -> Option<usize> {
        let reserved = group.reserved();
        let wanted = rack.or(group.data_rack.as_ref());
        let strict = rack.is_some() || demand.key.class == Class::InTime;
        let near = |site: &Site| wanted.is_none() || site.rack() == wanted;
        let has_leave = |site: &Site| {
            demand.queue.admission.is_none()
                || self.policy.ticket(now, demand.group_id, &site.incarnation).is_some()
        };
        let fits = |site: &Site| {
            reserved.fits(site.free)
                && has_leave(site)
                && group.accepts(&site.labels)
                && group
                    .max_per_instance
                    .is_none_or(|most| self.beside(&site.incarnation, task) < most)
        };
        let score = |site: &Site| {
            // What stays is kept together, so that the other machines can be lent.
            let together = if group.is_long_lived() { site.staying } else { 0 };
            let quiet = !group.best_effort || !site.serves;
            (near(site), quiet, together, std::cmp::Reverse(site.free.millicores))
        };
        let candidates = sites.iter().enumerate().filter(|(_, site)| fits(site));
        let (best, site) = candidates.max_by_key(|(_, site)| score(site))?;
        if !near(site) && strict && sites.iter().any(|site| near(site) && has_leave(site)) {
            return None;
        }
        Some(best)
    }

    /// Tasks of the same round and group on an instance.
    fn beside(&self, incarnation: &Incarnation, task: TaskId) -> u16 {
        let Some(instance) = self.instances.get(incarnation) else { return 0 };
        let first = TaskId { index: 0, ..task };
        let last = TaskId { index: u16::MAX, ..task };
        instance.attempts.range(first..=last).count() as u16
    }
}
