//! Decides which waiting task starts on which instance.
//!
//! Demand comes in bursts of about five times its mean, more than a pool can hold. Serving such a
//! burst in order of arrival would make every job late. Instead, groups are placed by class: first
//! continuous tasks, then jobs that can still meet their objective, then late jobs, and best-effort
//! tasks last. Within a class and priority, jobs that have begun are finished first, then
//! organisations with a low share go first, and then the most urgent job does.
//!
//! A job earns its full value when it meets its objective, part of it up to three times the
//! objective, and nothing after that.

use super::*;
use {isolation::Isolation, scheduler::note};

/// A group of tasks that is ready to start.
#[derive(Debug)]
pub(crate) struct ReadyGroup<'a> {
    key: PlacementKey,
    pub(crate) group_id: GroupId,
    pub(crate) record: &'a JobRecord,
    pub(crate) queue: &'a Queue,
    pub(crate) isolation: Isolation,
}

/// What comes before the order among organisations; lower ranks go first.
pub(crate) type Rank = (Class, u8, std::cmp::Reverse<bool>);

impl<'a> ReadyGroup<'a> {
    /// Number of tasks that wait to be started.
    fn waiting_tasks(&self) -> usize {
        let GroupId { round, group, .. } = self.group_id;
        let round = self.record.rounds.get(round);
        round.map_or(0, |round| usize::from(round.waiting[usize::from(group)]))
    }

    /// Processor demand of the tasks that wait to be started.
    fn waiting_millicores(&self) -> u64 {
        let GroupId { group, .. } = self.group_id;
        self.waiting_tasks() as u64
            * self.record.spec.groups[usize::from(group)].reserved().millicores
    }

    pub(crate) fn rank(&self) -> Rank {
        (self.key.class, self.key.priority, self.key.begun)
    }

    /// Whether no instance had enough free resources for a task of this size in this pass.
    fn has_no_room(&self, unplaceable: &Unplaceable) -> bool {
        if self.is_suspect() {
            return false;
        }
        let group = self.group();
        let is_unplaceable = |(pool, size): &(&str, Resources)| {
            **pool == *self.queue.pool && size.fits(group.reserved())
        };
        group.requirement.is_none() && unplaceable.iter().any(is_unplaceable)
    }

    /// Number of its tasks that wait, also those that are being claimed.
    pub(crate) fn waiting(&self) -> u16 {
        let GroupId { round, group, .. } = self.group_id;
        let round = self.record.rounds.get(round);
        round.map_or(0, |round| round.waiting[usize::from(group)])
    }

    pub(crate) fn slack(&self) -> u64 {
        self.key.slack
    }

    pub(crate) fn group(&self) -> &'a Group {
        &self.record.spec.groups[usize::from(self.group_id.group)]
    }

    /// Whether its job is a suspect, see [`JobRecord::is_suspect`].
    pub(crate) fn is_suspect(&self) -> bool {
        self.isolation != Isolation::None
    }

    pub(crate) fn organisation_name(&self) -> Option<&'a Name> {
        self.record.organisation.as_ref()
    }

    /// Name and configuration of its organisation, if both are known.
    pub(crate) fn organisation(&self, config: &'a Config) -> Option<(&'a Name, &'a Organisation)> {
        let name = self.organisation_name()?;
        Some((name, config.organisation(name)?))
    }

    /// Log entry about tasks of the group that were placed.
    fn placement_note(&self, tasks: usize) -> Effect {
        let PlacementKey { class, slack, .. } = self.key;
        let order = match class {
            Class::Owed | Class::Surplus => format!("due at {slack}"),
            _ => format!("{slack} ms to spare"),
        };
        let isolation = match self.isolation {
            Isolation::None => "",
            Isolation::Empty => ", on an empty instance",
            Isolation::Emptiest => ", on the emptiest instance",
        };
        let why = format!("{tasks} tasks, {class:?}, {order}{isolation}");
        note("group-placed", self.group_id.to_string(), why)
    }
}

/// Sort key for the order in which groups are placed; lower keys go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlacementKey {
    class: Class,
    priority: u8,
    /// Whether a task of the round has been started.
    begun: std::cmp::Reverse<bool>,
    /// Milliseconds until the group must start for the round to meet its objective, or three times
    /// the objective if it is late.
    slack: u64,
}

impl PlacementKey {
    /// The key without the mechanisms that are off, of a round that was due at `at`.
    fn with(mut self, mechanisms: &Mechanisms, at: UnixMs) -> Self {
        if !mechanisms.is_on(Mechanism::ObjectiveFirst) {
            if self.is_late() {
                self.class = Class::InTime;
            }
            self.slack = at;
        }
        if !mechanisms.is_on(Mechanism::BegunFirst) {
            self.begun = std::cmp::Reverse(false);
        }
        self
    }

    /// Whether the objective can no longer be met, or the job exceeds the agreed rate.
    fn is_late(self) -> bool {
        self.class.is_late() || self.class == Class::Surplus
    }
}

/// Objective of a round and the time it still needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Forecast {
    /// Time allowed from the due time, in milliseconds.
    objective: u64,
    /// Critical path through the groups that are not done, in milliseconds.
    remaining: u64,
}

impl Forecast {
    /// A job that takes up to this multiple of its objective still earns part of its value.
    const LATE_FACTOR: u64 = 3;

    /// Sort key of a group of the round.
    pub(crate) fn key(self, unix: UnixMs, due: DueRound, group: &Group) -> PlacementKey {
        let Self { objective, remaining } = self;
        let DueRound { record, round, queue, .. } = due;
        let age = unix.saturating_sub(due.at);
        let class = if group.best_effort {
            Class::Filler
        } else if group.continuous {
            Class::Lasting
        } else if record.surplus {
            Class::Surplus
        } else if age + remaining <= objective {
            Class::InTime
        } else if age + remaining <= objective * Self::LATE_FACTOR {
            Class::Late
        } else {
            Class::Owed
        };
        let total: u16 = record.spec.groups.iter().map(|group| group.count).sum();
        let begun = round.waiting.iter().sum::<u16>() < total;
        let slack = match class {
            Class::Late => (objective * Self::LATE_FACTOR).saturating_sub(age + remaining),
            // Jobs that nobody waits for any more end in the order in which they came.
            Class::Owed | Class::Surplus => due.at,
            _ => objective.saturating_sub(age + remaining),
        };
        PlacementKey { class, priority: queue.priority, begun: std::cmp::Reverse(begun), slack }
    }
}

/// Class of a group by the value that it can still earn, highest first. The variants are printed in
/// the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Class {
    /// Runs until cancelled, and earns value all the time.
    Lasting,
    /// Late, and started within the share of late work in an overloaded pool.
    LateShare,
    /// Can meet its objective.
    InTime,
    /// Can finish within three times its objective.
    Late,
    /// Has to be finished but earns nothing any more.
    Owed,
    /// Exceeds the agreed rate of its organisation.
    Surplus,
    /// Best-effort: uses only idle resources.
    Filler,
}

impl Class {
    /// Whether the objective can no longer be met.
    pub(crate) fn is_late(self) -> bool {
        matches!(self, Self::LateShare | Self::Late | Self::Owed)
    }
}

/// An instance on which tasks can be placed.
#[derive(Debug)]
pub(crate) struct Host {
    incarnation: Incarnation,
    labels: Arc<[Name]>,
    free: Resources,
    /// Number of attempts.
    pub(crate) attempts: usize,
    /// Number of long-lived attempts.
    pub(crate) long_lived: usize,
    /// The suspect job that has it to itself.
    pub(crate) isolated_for: Option<JobId>,
    /// Whether only suspects may be placed here.
    pub(crate) kept_free: bool,
    /// Whether a task with a latency target runs there.
    has_latency_target: bool,
}

impl Host {
    fn rack(&self) -> Option<&Name> {
        self.labels.get(1)
    }
}

/// What the groups of a pool that are ready need of an instance.
#[derive(Debug, Default)]
struct Demand {
    /// The least that a task reserves, by resource; `None` without groups.
    least: Option<Resources>,
    /// Whether a group depends on instances without room: it waits for a rack, or for an instance to
    /// itself.
    needs_all: bool,
}

impl Demand {
    fn add(&mut self, ready_group: &ReadyGroup) {
        let group = ready_group.group();
        let reserved = group.reserved();
        self.least = Some(self.least.map_or(reserved, |least| least.min(reserved)));
        self.needs_all |=
            group.single_rack || group.data_rack.is_some() || ready_group.is_suspect();
    }

    /// Whether an instance with this much free is needed.
    fn includes(&self, free: Resources) -> bool {
        self.needs_all || self.least.is_some_and(|least| least.fits(free))
    }
}

/// Pools and task sizes for which no instance had enough free resources. Tasks of the same pool and
/// of at least that size are skipped.
type Unplaceable<'a> = Vec<(&'a str, Resources)>;

/// Drops the groups that fit into the free resources of no instance. These are most groups while a
/// pool is full, and the order among them does not matter.
fn retain_with_room(ready_groups: &mut Vec<ReadyGroup>, hosts: &BTreeMap<Name, Vec<Host>>) {
    let largest_free = |hosts: &Vec<Host>| {
        hosts.iter().map(|host| host.free).fold(Resources::default(), Resources::max)
    };
    let largest_free: BTreeMap<_, _> =
        hosts.iter().map(|(pool, hosts)| (pool, largest_free(hosts))).collect();
    ready_groups.retain(|ready_group| {
        let free = largest_free.get(&ready_group.queue.pool);
        free.is_some_and(|free| ready_group.group().reserved().fits(*free))
    });
}

impl Scheduler {
    /// Places ready tasks on instances, and returns the claims to commit.
    pub(crate) fn plan(
        &mut self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) -> Vec<Claim> {
        let Some(config) = &table.config else { return Vec::new() };
        let open_jobs = self.jobs_to_plan(now, table);
        let mut ready_groups = self.ready_groups(unix, &open_jobs, table, config);
        ready_groups.sort_by_key(|ready_group| (ready_group.key, ready_group.group_id));
        if self.promote_late_groups(&mut ready_groups) {
            ready_groups.sort_by_key(|ready_group| (ready_group.key, ready_group.group_id));
        }
        let is_late = |group: &&ReadyGroup| group.key.is_late() && group.record.rounds.len() == 1;
        let late: BTreeSet<_> =
            ready_groups.iter().filter(is_late).map(|group| group.group_id.job).collect();
        let mut hosts = self.hosts(now, &ready_groups);
        self.let_large_tasks_start(now, table, config, &ready_groups);
        let suspects = ready_groups.iter().filter(|group| group.is_suspect());
        let suspects = suspects.filter(|group| !self.is_held_as_late(group));
        isolation::keep_hosts_free(suspects, &mut hosts);
        let mut claims = Vec::new();
        let mut unplaceable = Unplaceable::new();
        retain_with_room(&mut ready_groups, &hosts);
        let shares = if ready_groups.is_empty() { None } else { self.shares(now, config) };
        let mut filling = Filling::new(ready_groups, shares);
        let mut placed = false;
        loop {
            let has_no_room = |group: &ReadyGroup| group.has_no_room(&unplaceable);
            let Some(ready_group) = filling.next(&self.ledger, placed, has_no_room) else { break };
            placed = false;
            let Some(hosts) = hosts.get_mut(&ready_group.queue.pool) else { continue };
            let before = claims.len();
            self.place(now, config, &ready_group, hosts, &mut unplaceable, &mut claims);
            let started = claims.len() - before;
            if started == ready_group.waiting_tasks() {
                self.durations.record_placed(ready_group.group_id, unix);
            }
            placed = started > 0;
            if placed {
                effects.push(ready_group.placement_note(started));
            }
        }
        self.open_jobs = &open_jobs - &late;
        self.late_jobs.extend(late);
        self.note_holds(now, unix, table, config, &claims, effects);
        claims
    }

    /// Jobs with waiting tasks that the next pass looks at. Late ones are looked at less often.
    fn jobs_to_plan(&mut self, now: Time, table: &Table) -> BTreeSet<JobId> {
        let mut jobs = std::mem::take(&mut self.open_jobs);
        let interval = if self.late_room.is_empty() {
            Self::LATE_PLAN_INTERVAL
        } else {
            Self::LATE_PLAN_INTERVAL_OVERLOADED
        };
        let late_due = now >= self.last_late_plan + interval;
        if late_due {
            self.last_late_plan = now;
            jobs.append(&mut self.late_jobs);
        }
        jobs.retain(|job| table.jobs.get(job).is_some_and(|record| record.has_waiting_tasks()));
        jobs
    }

    /// Whether late work of a pool waits, because the pool lacks capacity.
    pub(crate) fn holds_late_work(&self, pool: &Name) -> bool {
        self.uses(Mechanism::LateAside) && self.late_room.contains_key(pool)
    }

    /// Lets late groups of overloaded pools go first as far as the share of late work allows. Groups
    /// must be sorted. Returns whether any goes first.
    fn promote_late_groups(&mut self, ready_groups: &mut [ReadyGroup]) -> bool {
        if !self.uses(Mechanism::LateAside) || self.late_room.is_empty() {
            return false;
        }
        let mut promoted = false;
        let has_share =
            |group: &&mut ReadyGroup| group.key.is_late() && group.key.class != Class::Surplus;
        for group in ready_groups.iter_mut().filter(has_share) {
            let Some(room) = self.late_room.get_mut(&group.queue.pool) else { continue };
            let size = group.waiting_millicores();
            if size <= *room {
                *room -= size;
                group.key.class = Class::LateShare;
                promoted = true;
            }
        }
        promoted
    }

    /// Whether a group waits because its job is late and a pool lacks capacity.
    pub(crate) fn is_held_as_late(&self, ready_group: &ReadyGroup) -> bool {
        let late = ready_group.key.is_late() && ready_group.key.class != Class::LateShare;
        late && self.holds_late_work(&ready_group.queue.pool)
    }

    /// Instances on which tasks of the given groups can be placed, by pool. Those without room for any
    /// task are left out where no group depends on which others there are.
    fn hosts(&self, now: Time, ready_groups: &[ReadyGroup]) -> BTreeMap<Name, Vec<Host>> {
        let mut wanted = Map::<&str, (Demand, Vec<Host>)>::default();
        for ready_group in ready_groups {
            let pool = wanted.entry(&ready_group.queue.pool);
            pool.or_insert_with(|| (Demand::default(), Vec::new())).0.add(ready_group);
        }
        for (incarnation, instance) in &self.instances {
            if !instance.is_usable(now) {
                continue;
            }
            let Some(announcement) = instance.announcement.as_ref() else { continue };
            let Some((demand, hosts)) = wanted.get_mut(&*announcement.pool) else { continue };
            let free = instance.free();
            if demand.includes(free) {
                hosts.push(Host {
                    incarnation: incarnation.clone(),
                    labels: announcement.labels.clone(),
                    free,
                    attempts: instance.attempts.len(),
                    long_lived: instance.long_lived,
                    isolated_for: instance.isolated_for(now),
                    kept_free: false,
                    has_latency_target: instance.with_latency_target > 0,
                });
            }
        }
        wanted.into_iter().map(|(pool, (_, hosts))| (pool.into(), hosts)).collect()
    }

    /// Groups with waiting tasks whose dependencies are done.
    pub(crate) fn ready_groups<'a>(
        &self,
        unix: UnixMs,
        open_jobs: &'a BTreeSet<JobId>,
        table: &'a Table,
        config: &'a Config,
    ) -> Vec<ReadyGroup<'a>> {
        let mut ready_groups = Vec::new();
        for due in DueRound::of(open_jobs, table, config, |_| Some(unix)) {
            let ready =
                due.waiting_groups().filter(|(_, group)| due.round.dependencies_done(group));
            let mut forecast = None;
            for (position, group) in ready {
                let forecast = *forecast.get_or_insert_with(|| self.forecast(unix, due));
                let key = forecast.key(unix, due, group).with(&self.mechanisms, due.at);
                let group_id = due.group_id(position);
                let DueRound { record, queue, .. } = due;
                let isolation = record.isolation(unix);
                ready_groups.push(ReadyGroup { key, group_id, record, queue, isolation });
            }
        }
        ready_groups
    }

    /// Whether a round can still meet its objective; a continuous one always can.
    pub(crate) fn can_meet_objective(&self, unix: UnixMs, due: DueRound) -> bool {
        let Forecast { objective, remaining } = self.forecast(unix, due);
        due.record.spec.is_continuous() || unix.saturating_sub(due.at) + remaining <= objective
    }

    /// Estimates the objective and the remaining time of a round.
    pub(crate) fn forecast(&self, unix: UnixMs, due: DueRound) -> Forecast {
        let DueRound { record, round, queue, .. } = due;
        let groups = &record.spec.groups;
        let delay = queue.admission.map_or(Duration::ZERO, |admission| admission.min_delay());
        let overhead = self.group_overhead();
        let mut all_ends: Vec<Duration> = Vec::with_capacity(groups.len());
        let mut remaining_ends: Vec<Duration> = Vec::with_capacity(groups.len());
        for (position, group) in groups.iter().enumerate() {
            let expected = if self.uses(Mechanism::LearnedDurations) {
                self.durations.lower_quartile(&queue.name, due.group_id(position as u16), group)
            } else {
                group.estimate
            };
            let before = |ends: &[Duration]| {
                let before = group.after.iter().filter_map(|i| ends.get(usize::from(*i))).max();
                before.copied().unwrap_or_default()
            };
            all_ends.push(before(&all_ends) + delay + expected);
            let expected = match (round.open[position], round.waiting[position]) {
                (0, _) => Duration::ZERO,
                (_, 0) => {
                    let group_id = due.group_id(position as u16);
                    (expected + overhead).saturating_sub(self.durations.running_for(group_id, unix))
                }
                _ => expected + overhead,
            };
            remaining_ends.push(before(&remaining_ends) + expected);
        }
        let critical_path = all_ends.into_iter().max().unwrap_or_default();
        Forecast {
            objective: queue.objective(critical_path).as_millis() as u64,
            remaining: remaining_ends.into_iter().max().unwrap_or_default().as_millis() as u64,
        }
    }

    /// Places the waiting tasks of a group as far as there are free resources; those of a gang only
    /// all together.
    fn place<'a>(
        &mut self,
        now: Time,
        config: &'a Config,
        ready_group: &ReadyGroup<'a>,
        hosts: &mut [Host],
        unplaceable: &mut Unplaceable<'a>,
        claims: &mut Vec<Claim>,
    ) {
        let GroupId { job, round, group: position } = ready_group.group_id;
        let group = &ready_group.record.spec.groups[usize::from(position)];
        let reserved = group.reserved();
        // While a pool lacks machines, late jobs leave its capacity to jobs that can still meet
        // their objective.
        if self.is_held_as_late(ready_group) {
            return;
        }
        let Some(state) = ready_group.record.rounds.get(round) else { return };
        let task_states = &state.groups[usize::from(position)];
        if group.gang && usize::from(state.waiting[usize::from(position)]) < task_states.len() {
            return;
        }
        // All members of a gang run under the same attempt number.
        let gang_number =
            task_states.iter().map(|task_state| task_state.number).max().unwrap_or(0) + 1;
        let first = claims.len();
        let isolation = ready_group.isolation;
        let is_suspect = ready_group.is_suspect();
        let may_isolate_gang = group.gang && isolation::may_isolate(hosts);
        let mut rack = None;
        let mut admitted =
            ready_group.organisation(config).map_or(u64::MAX, |(name, organisation)| {
                self.ledger.admitted(name, organisation, ready_group.group_id, group)
            });
        for (index, task_state) in task_states.iter().enumerate() {
            let task = TaskId { job, round, group: position, index: index as u16 };
            let is_assigned = self.assigned.contains_key(&task) || self.is_stray(now, &task);
            if task_state.phase != Phase::Waiting || is_assigned {
                continue;
            }
            if admitted == 0 {
                break;
            }
            admitted -= 1;
            let may_take = is_suspect && (may_isolate_gang || isolation::may_isolate(hosts));
            let admits = |host: &Host| host.admits(job, isolation, may_take);
            let chosen = self.choose(now, ready_group, group, task, rack.as_ref(), hosts, admits);
            let Some(host) = chosen else {
                let unrestricted = group.max_per_instance.is_none() && group.data_rack.is_none();
                let unrestricted =
                    unrestricted && ready_group.queue.admission.is_none() && !is_suspect;
                if unrestricted && group.requirement.is_none() && rack.is_none() {
                    unplaceable.push((&ready_group.queue.pool, reserved));
                }
                break;
            };
            let host = &mut hosts[host];
            let number = if group.gang { gang_number } else { task_state.number + 1 };
            let incarnation = host.incarnation.clone();
            let mut attempt = Attempt::new(number, Stage::Proposed, Some(group), now);
            attempt.isolated = is_suspect;
            let charge = Charge::new(ready_group.record, group);
            self.assign(&incarnation, task, attempt, Some(charge));
            host.attempts += 1;
            if is_suspect {
                host.isolated_for = Some(job);
            }
            host.free = host.free.saturating_sub(reserved);
            host.long_lived += usize::from(group.is_long_lived());
            host.has_latency_target |= group.latency_target.is_some();
            if group.single_rack {
                rack = host.rack().cloned();
            }
            claims.push(Claim { task, number, incarnation });
        }
        if group.gang && claims.len() - first < task_states.len() {
            for claim in claims.drain(first..) {
                self.unassign(&claim.task, claim.number);
                let host = hosts.iter_mut().find(|host| host.incarnation == claim.incarnation);
                if let Some(host) = host {
                    host.free += reserved;
                    host.attempts -= 1;
                    host.isolated_for = host.isolated_for.filter(|_| host.attempts > 0);
                    host.long_lived -= usize::from(group.is_long_lived());
                }
            }
        }
    }

    /// Finds late groups with tasks that exceed the limit of their organisation by themselves, which
    /// happens after a limit was lowered. They may start only while nothing else of the organisation
    /// is at work; without further care, a steady stream of small tasks would keep them waiting for
    /// ever.
    fn let_large_tasks_start(
        &mut self,
        now: Time,
        table: &Table,
        config: &Config,
        ready_groups: &[ReadyGroup],
    ) {
        let mut ledger = std::mem::take(&mut self.ledger);
        let waits_for_room = |queue: &Name| {
            config.queue(queue).is_none_or(|queue| self.holds_late_work(&queue.pool))
        };
        let is_large = |name: &Name, group: &Group| {
            let organisation = config.organisation(name);
            organisation.is_some_and(|organisation| organisation.exceeds_limit(group.size))
        };
        ledger.retain_alone(|name, GroupId { job, round, group }| {
            let Some(record) = table.jobs.get(&job) else { return false };
            let state = record.rounds.get(round);
            let waits = state.is_some_and(|state| state.waiting[usize::from(group)] > 0);
            let declared = &record.spec.groups[usize::from(group)];
            let is_live = !record.state.is_terminal() && waits;
            is_live && !waits_for_room(&record.queue) && is_large(name, declared)
        });
        let smallest = config.smallest_limit();
        for ready_group in ready_groups {
            let group = ready_group.group();
            let is_late = ready_group.key.is_late() && !group.is_long_lived();
            let waits = self.holds_late_work(&ready_group.queue.pool);
            if !is_late || waits || group.is_gang() || group.size.fits(smallest) {
                continue;
            }
            let Some((name, organisation)) = ready_group.organisation(config) else { continue };
            if organisation.exceeds_limit(group.size)
                && self.fits_an_instance(now, &ready_group.queue.pool, group)
            {
                ledger.start_alone(name, ready_group.group_id);
            }
        }
        self.ledger = ledger;
    }

    /// Whether an instance of a pool could run a task of `group` if it ran nothing else.
    fn fits_an_instance(&self, now: Time, pool: &Name, group: &Group) -> bool {
        let fits = |instance: &Instance| {
            instance.announcement.as_ref().is_some_and(|announcement| {
                announcement.pool == *pool
                    && group.reserved().fits(announcement.capacity)
                    && group.accepts(&announcement.labels)
            })
        };
        self.instances.values().any(|instance| instance.is_usable(now) && fits(instance))
    }

    /// Chooses one of the instances that fit. It prefers, in this order: the wanted rack; for a
    /// best-effort task, an instance whose tasks have no latency target; for a long-lived task, the
    /// instance with the most long-lived tasks; the fullest instance.
    ///
    /// The wanted rack is `rack`, or else the rack that holds the input data. `rack` is set if all
    /// tasks of the group must run on a single rack and some have been placed. If only other racks
    /// have room, the task waits: for `rack` always, for the input data only in [`Class::InTime`].
    /// It does not wait for a rack without instances, or without permitted ones if the queue needs
    /// permits.
    #[expect(clippy::too_many_arguments, reason = "what the choice depends on")]
    fn choose(
        &self,
        now: Time,
        ready_group: &ReadyGroup,
        group: &Group,
        task: TaskId,
        rack: Option<&Name>,
        hosts: &[Host],
        admits: impl Fn(&Host) -> bool,
    ) -> Option<usize> {
        let reserved = group.reserved();
        let is_suspect = ready_group.is_suspect();
        let wanted_rack = rack.or(group.data_rack.as_ref());
        let rack_required = rack.is_some() || ready_group.key.class == Class::InTime;
        let in_wanted_rack = |host: &Host| wanted_rack.is_none() || host.rack() == wanted_rack;
        let has_permit = |host: &Host| {
            ready_group.queue.admission.is_none()
                || self.admissions.ticket(now, ready_group.group_id, &host.incarnation).is_some()
        };
        let fits = |host: &Host| {
            reserved.fits(host.free)
                && admits(host)
                && has_permit(host)
                && group.accepts(&host.labels)
                && group
                    .max_per_instance
                    .is_none_or(|limit| self.count_on_instance(&host.incarnation, task) < limit)
        };
        let packs = self.uses(Mechanism::Packing);
        let score = |host: &Host| {
            // Long-lived tasks are packed together so that the other machines can move to other
            // pools.
            let together = packs && group.is_long_lived() && !is_suspect;
            let together = if together { host.long_lived } else { 0 };
            let keeps_latency = !group.best_effort || !host.has_latency_target;
            let free = host.free.millicores;
            let fullness = match (is_suspect, packs) {
                (true, _) if host.isolated_for.is_some() => u64::MAX,
                (true, _) => u64::MAX - 1 - host.attempts as u64,
                (false, true) => u64::MAX - free,
                (false, false) => free,
            };
            (in_wanted_rack(host), keeps_latency, together, fullness)
        };
        let candidates = hosts.iter().enumerate().filter(|(_, host)| fits(host));
        let (best, host) = candidates.max_by_key(|(_, host)| score(host))?;
        if !in_wanted_rack(host)
            && rack_required
            && hosts.iter().any(|host| in_wanted_rack(host) && has_permit(host) && !is_suspect)
        {
            return None;
        }
        Some(best)
    }

    /// Number of tasks of the same group and round on an instance.
    fn count_on_instance(&self, incarnation: &Incarnation, task: TaskId) -> u16 {
        let Some(instance) = self.instances.get(incarnation) else { return 0 };
        let first = TaskId { index: 0, ..task };
        let last = TaskId { index: u16::MAX, ..task };
        instance.attempts.range(first..=last).count() as u16
    }
}
