use super::*;

/// Schedules the tasks of every pool. Active on the leader only.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub(crate) bounds: Bounds,
    pub(crate) mechanisms: Mechanisms,
    /// Term of this leader; `None` while another daemon leads.
    pub(crate) epoch: Option<Epoch>,
    /// When it became leader.
    pub(crate) leader_since: Time,
    /// Every incarnation of an instance that may run an attempt. Boxed, since the nodes of the map are
    /// searched for every event and then fit into few cache lines.
    pub(crate) instances: BTreeMap<Incarnation, Box<Instance>>,
    /// Incarnation that each attempt without a committed end was assigned to.
    pub(crate) assigned: BTreeMap<TaskId, Incarnation>,
    /// Tasks of which an instance has reported an attempt that is not assigned to it. They start nowhere
    /// else until it has ended.
    pub(crate) strays: BTreeMap<TaskId, Incarnation>,
    /// What these attempts, and those that ended since the last batch, count for.
    pub(crate) ledger: Ledger,
    pub(crate) holds: Holds,
    /// Latest incarnation heard from on each machine.
    pub(crate) latest_on_machine: BTreeMap<Name, Incarnation>,
    /// Instances whose stops and renewals are checked after the current event.
    pub(crate) touched: BTreeSet<Incarnation>,
    /// Attempts claimed in the batch being committed.
    pub(crate) claiming: Vec<(TaskId, AttemptNumber)>,
    /// Instances with ended attempts that were received since the last batch.
    pub(crate) reported: BTreeSet<Incarnation>,
    /// Instances with ended attempts in the batch being committed.
    pub(crate) acknowledging: Vec<Incarnation>,
    /// Current incarnation of each instance.
    pub(crate) generations: BTreeMap<Name, Generation>,
    /// Latest announcement of each instance and when it arrived; also collected while another
    /// daemon leads.
    pub(crate) announcements: BTreeMap<Name, (Announcement, Time)>,
    /// Latest announcement of each instance that the other members were told, and when.
    published: BTreeMap<Name, (Announcement, Time)>,
    /// When announcements of silent instances were last dropped.
    last_forgotten: Time,
    pub(crate) calls: Map<CallId, (Incarnation, PendingCall)>,
    pub(crate) last_call_id: CallId,
    /// Ended attempts to propose in the next batch.
    pub(crate) pending_ends: Vec<AttemptEnd>,
    /// Whether a batch is being committed.
    pub(crate) batch_in_flight: bool,
    /// Jobs that may have tasks waiting to be started; the planning pass looks at no others.
    pub(crate) open_jobs: BTreeSet<JobId>,
    /// Of these, jobs that have missed their objective. They wait while a pool is overloaded, and
    /// are looked at less often.
    pub(crate) late_jobs: BTreeSet<JobId>,
    /// When late jobs were last planned.
    pub(crate) last_late_plan: Time,
    /// When observed run times were last dropped.
    pub(crate) last_forgotten_durations: Time,
    /// Whether something changed since the last planning pass.
    pub(crate) needs_planning: bool,
    pub(crate) last_planned: Time,
    pub(crate) planning_passes: u64,
    /// For how long events of instances wait until this leader handles them.
    pub(crate) lag: Duration,
    /// When all instances were last checked for what is due by time.
    last_instance_check: Time,
    /// When the maintenance waves were last checked.
    pub(crate) last_wave_check: Time,
    /// When the pools were last rebalanced.
    pub(crate) last_rebalance: Time,
    /// Live recurring jobs.
    pub(crate) recurring_jobs: BTreeSet<JobId>,
    /// Work that has arrived lately, by pool.
    pub(crate) arrivals: BTreeMap<Name, Arrivals>,
    /// Pools whose capacity is too small for the work that can still meet its objective, or all pools
    /// while the leader is behind, with the capacity that late work may still take there, in
    /// millicores.
    pub(crate) late_room: BTreeMap<Name, u64>,
    /// When the balance of each pool was last logged.
    pub(crate) last_report: Time,
    pub(crate) machines: machines::Machines,
    pub(crate) order_budget: OrderBudget,
    /// Kept while another daemon leads.
    pub(crate) order_history: machines::OrderHistory,
    pub(crate) durations: DurationEstimator,
    /// Moving average of the time from a start request to its answer.
    mean_start_time: Duration,
    /// Moving average of the time that a batch takes to be committed.
    mean_commit_time: Duration,
    /// When the batch that is being committed was proposed.
    pub(crate) batch_proposed_at: Time,
    /// Which instances the admission policies of the queues allow.
    pub(crate) admissions: AdmissionState,
    /// Why jobs wait.
    pub(crate) waits: WaitCauses,
}

/// A call to an instance that has not been answered.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PendingCall {
    Start(TaskId, AttemptNumber),
    Stop(TaskId, AttemptNumber),
    Renew { sent: Time, acknowledged: u64 },
    Throttle(TaskId, AttemptNumber),
}

impl Scheduler {
    /// Length of a lease: long enough for several renewals and for a leader election.
    pub const LEASE: Duration = Duration::from_millis(5500);
    /// How long an instance may hold a renewal open until an attempt ends.
    pub(crate) const RENEWAL_WAIT: Duration = Duration::from_millis(1000);
    /// How long an instance with best-effort tasks may hold a renewal open. This is short, so that
    /// latency is reported often enough to throttle them before the tasks beside them miss their
    /// latency target.
    pub(crate) const RENEWAL_WAIT_BEST_EFFORT: Duration = Duration::from_millis(400);
    /// Timeout of a request, in addition to the time that the instance may hold it open.
    pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
    /// Lower bound of the start timeout: long enough for a lost packet to be sent again. After the
    /// timeout, a renewal tells whether the task runs.
    const MIN_START_TIMEOUT: Duration = Duration::from_millis(250);
    /// Start timeout as a multiple of the average answer time. A leader short of processor time
    /// sees answers late; giving up on them early would only add to its work.
    const START_TIMEOUT_FACTOR: u32 = 8;
    /// Weight of the latest answer in the average answer time, as a divisor: 1/32.
    const START_TIME_WEIGHT_DIVISOR: u32 = 32;
    /// Interval at which other members hear of an instance about which nothing has changed. They use
    /// it to estimate the clock of the instance when they become leader.
    const PUBLICATION_INTERVAL: Duration = Duration::from_secs(6);
    /// An instance that has not announced itself for this long is not taken over by a new leader;
    /// more than two intervals of publication.
    const ANNOUNCEMENT_VALIDITY: Duration = Duration::from_secs(16);
    /// Delay before a renewal that was not answered is repeated.
    pub(crate) const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(100);
    /// Delay before a request to stop an attempt is repeated.
    pub(crate) const STOP_RETRY_DELAY: Duration = Duration::from_millis(250);
    /// For each hundred instances, the time between two checks of all of them grows by this much.
    const CHECK_INTERVAL_PER_HUNDRED: Duration = Duration::from_millis(6);
    /// Minimum time between planning passes, so that the events in between share one pass.
    pub(crate) const PLAN_INTERVAL: Duration = Duration::from_millis(8);
    /// For each this many waiting jobs, the time between passes grows by as much again.
    pub(crate) const JOBS_PER_PLAN_INTERVAL: u32 = 250;
    /// The same for each hundred instances.
    pub(crate) const PLAN_INTERVAL_PER_HUNDRED: Duration = Duration::from_millis(2);
    /// Minimum time between passes that also look at late jobs.
    pub(crate) const LATE_PLAN_INTERVAL: Duration = Duration::from_millis(40);
    /// The same while a pool is overloaded, since few of them can start.
    pub(crate) const LATE_PLAN_INTERVAL_OVERLOADED: Duration = Duration::from_millis(250);
    /// Interval at which the run times observed for ended jobs are dropped.
    pub(crate) const FORGET_DURATIONS_INTERVAL: Duration = Duration::from_secs(1);
    /// Interval between planning passes without events, since rounds come due as time passes.
    pub(crate) const IDLE_PLAN_INTERVAL: Duration = Duration::from_millis(50);

    /// Creates a scheduler that does not lead yet.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Switches mechanisms off.
    pub fn with_mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }

    pub(crate) fn uses(&self, mechanism: Mechanism) -> bool {
        self.mechanisms.is_on(mechanism)
    }

    /// Whether this scheduler is active, that is, whether this daemon leads.
    pub fn leads(&self) -> bool {
        self.epoch.is_some()
    }

    /// Sets for how long events of instances wait until this leader handles them.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Number of planning passes so far.
    pub fn planning_passes(&self) -> u64 {
        self.planning_passes
    }

    /// Data centre of an incarnation, if it has announced itself.
    pub fn data_center_of(&self, incarnation: &Incarnation) -> Option<&Name> {
        Some(&self.instances.get(incarnation)?.announcement.as_ref()?.data_center)
    }

    /// Resources at work for an organisation, or for jobs without one, as the leader counts them:
    /// each attempt from the proposal of its claim until its end is committed.
    pub fn at_work(&self, organisation: Option<&Name>) -> Resources {
        self.ledger.at_work(organisation)
    }

    /// Number of instances in each data centre.
    pub fn instances_by_data_center(&self) -> BTreeMap<Name, usize> {
        let mut counts = BTreeMap::<Name, usize>::new();
        let live = self.instances.values().filter_map(|i| i.announcement.as_ref());
        let heard = self.announcements.values().map(|(announcement, _)| announcement);
        // A daemon that does not lead yet only knows who has announced itself.
        let heard = heard.filter(|a| !self.leads() && a.condition != Condition::Gone);
        for announcement in live.chain(heard) {
            match counts.get_mut(&announcement.data_center) {
                Some(count) => *count += 1,
                None => drop(counts.insert(announcement.data_center.clone(), 1)),
            }
        }
        counts
    }

    /// Returns whether the other members should hear of an announcement, and records that they do: it
    /// differs from the last one that they heard of in more than its sequence, or that was some time
    /// ago.
    pub fn record_news(&mut self, now: Time, announcement: &Announcement) -> bool {
        let name = &announcement.incarnation.name;
        let known = self.published.get(name).is_some_and(|(published, at)| {
            published.is_repeated_by(announcement) && now < *at + Self::PUBLICATION_INTERVAL
        });
        if !known {
            self.published.insert(name.clone(), (announcement.clone(), now));
        }
        !known
    }

    /// The announcement to record when the instance `name` reports that it has ended; `None` if the
    /// report does not concern its current incarnation. A report without a start time counts only
    /// for an instance that was draining, since otherwise it may have been sent before a restart.
    pub fn departure_announcement(
        &self,
        name: &Name,
        born: Option<UnixMs>,
    ) -> Option<Announcement> {
        let (known, _) = self.announcements.get(name)?;
        let ended = match born {
            Some(born) => born == known.incarnation.born,
            None => known.condition == Condition::Draining,
        };
        ended.then(|| Announcement { condition: Condition::Gone, ..known.clone() })
    }

    /// Handles one event and returns the actions to carry out.
    pub fn reduce(&mut self, now: Time, unix: UnixMs, table: &Table, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.record_waits(now, unix, table, &event, &mut effects);
        match event {
            Event::Lead { epoch, leader } => {
                self.become_leader(now, table, epoch, &leader, &mut effects);
            }
            Event::FormerLeaderEnded(former) => {
                self.on_former_leader_ended(&former, &mut effects);
            }
            Event::Resign => self.resign(),
            Event::Announced(announcement) => self.on_announced(now, announcement, &mut effects),
            Event::InstanceAnswered { id, result } => {
                self.on_answered(now, table, id, result, &mut effects);
            }
            Event::PlatformAnswered { id, result } => {
                self.on_platform_answered(now, id, result, &mut effects);
            }
            Event::BatchCommitted(outcomes) => {
                self.on_batch_committed(now, table, &outcomes, &mut effects);
                self.on_command_committed(now, table, &outcomes, &mut effects);
            }
            Event::CommandCommitted(outcomes) => {
                self.on_command_committed(now, table, &outcomes, &mut effects);
            }
            Event::AdmissionAnswered { id, result } => {
                let job = self.admissions.job_of(id);
                self.on_admission_answered(now, id, result, &mut effects);
                if let Some(job) = job {
                    self.update_wait(now, table, job);
                }
            }
            Event::MaxQueries(max_queries) => self.on_max_queries(max_queries),
            Event::Tick => {
                self.check_instances(now, table, &mut effects);
                if self.leads() {
                    self.check_machines(now, &mut effects);
                    self.advance_waves(now, table);
                    self.rebalance(now, unix, table, &mut effects);
                }
            }
        }
        if self.leads() {
            let touched = std::mem::take(&mut self.touched);
            self.send_due_stops(now, &touched, &mut effects);
            self.send_due_renewals(now, table, touched, &mut effects);
            self.propose_batch(now, unix, table, &mut effects);
            self.send_admission_queries(now, unix, table, &mut effects);
        }
        effects
    }

    /// Number of instances, in hundreds.
    pub(crate) fn hundreds_of_instances(&self) -> u32 {
        u32::try_from(self.instances.len() / 100).unwrap_or(u32::MAX)
    }

    /// Finds the instances with renewals, stops and lease expiries that are due by time.
    fn check_instances(&mut self, now: Time, table: &Table, effects: &mut Vec<Effect>) {
        let interval = Self::CHECK_INTERVAL_PER_HUNDRED * self.hundreds_of_instances();
        if now < self.last_instance_check + interval {
            return;
        }
        self.last_instance_check = now;
        let due = self.instances.iter().filter(|(_, instance)| instance.needs_check(now));
        self.touched.extend(due.map(|(incarnation, _)| incarnation.clone()));
        self.vacate_instances(now, table, effects);
        self.expire_leases(now, effects);
        self.remove_departed(now, effects);
    }

    /// Takes over as leader: every attempt claimed in the table may be running.
    fn become_leader(
        &mut self,
        now: Time,
        table: &Table,
        epoch: Epoch,
        leader: &Leader,
        effects: &mut Vec<Effect>,
    ) {
        self.resign();
        self.epoch = Some(epoch);
        self.leader_since = now;
        self.machines.recover(now, table, leader, &self.order_history, self.bounds.order_turn);
        let lease_expires = Instance::lease_expiry_after(now, self.longest_lease());
        for (announcement, heard) in self.announcements.values() {
            let recent = now < *heard + Self::ANNOUNCEMENT_VALIDITY;
            if recent {
                let mut instance = Instance::new(Some(announcement.clone()), *heard, lease_expires);
                instance.renew_at = now;
                instance.granted_at = now;
                self.instances.insert(announcement.incarnation.clone(), Box::new(instance));
                let Incarnation { name, born } = announcement.incarnation.clone();
                record_latest(&mut self.latest_on_machine, announcement);
                self.generations.insert(name, Generation::first(born));
            }
        }
        self.open_jobs.clone_from(&table.live);
        let recurs = |id: &&JobId| table.jobs.get(id).is_some_and(|record| record.is_recurring());
        self.recurring_jobs = table.live.iter().filter(recurs).copied().collect();
        for id in &table.live {
            let Some(record) = table.jobs.get(id) else { continue };
            effects.extend(isolation::inherited_notes(*id, record));
            for claim in record.claims(*id) {
                let group = record.group(claim.task);
                let mut attempt = Attempt::new(claim.number, Stage::Recovered, group, now);
                attempt.conclusive_from = Some(now);
                attempt.stop_requested = record.must_stop(claim.task);
                attempt.isolated = record.is_suspect();
                let instance = self.instances.entry(claim.incarnation.clone());
                instance.or_insert_with(|| Box::new(Instance::new(None, now, lease_expires)));
                let charge = group.map(|group| Charge::new(record, group));
                self.assign(&claim.incarnation, claim.task, attempt, charge);
            }
        }
        let replaced: Vec<_> = self.replaced().collect();
        for incarnation in replaced {
            self.end_incarnation(now, &incarnation, Departure::Replaced, effects);
        }
        let leaving = self.instances.iter().filter(|(_, instance)| instance.is_departing());
        for incarnation in leaving.map(|(incarnation, _)| incarnation.clone()).collect::<Vec<_>>() {
            self.stop_leaving(now, &incarnation);
        }
        self.remove_departed(now, effects);
        self.needs_planning = true;
    }

    /// Incarnations that have been replaced by a later one of the same instance.
    fn replaced(&self) -> impl Iterator<Item = Incarnation> {
        let later =
            |i: &&Incarnation| self.generations.get(&i.name).is_some_and(|g| g.born > i.born);
        self.instances.keys().filter(later).cloned()
    }

    /// Drops what the leader tracked about attempts, calls and machine orders. The announcements
    /// are kept, for the next time that this daemon leads.
    fn resign(&mut self) {
        self.epoch = None;
        self.instances.clear();
        self.generations.clear();
        self.assigned.clear();
        self.strays.clear();
        self.ledger.clear();
        self.holds = Holds::default();
        self.latest_on_machine.clear();
        self.touched.clear();
        self.reported.clear();
        self.acknowledging.clear();
        self.open_jobs.clear();
        self.arrivals.clear();
        self.recurring_jobs.clear();
        self.late_jobs.clear();
        self.late_room.clear();
        self.calls.clear();
        self.published.clear();
        self.pending_ends.clear();
        self.batch_in_flight = false;
        self.machines = machines::Machines::default();
        self.admissions.resign();
    }

    fn on_announced(&mut self, now: Time, announcement: Announcement, effects: &mut Vec<Effect>) {
        let name = announcement.incarnation.name.clone();
        let born = announcement.incarnation.born;
        let generation = self.generations.get(&name).copied();
        let known = self.announcements.get(&name).map(|(known, _)| known);
        if known.is_some_and(|known| !announcement.supersedes(known))
            || generation.is_some_and(|current| current.born > born)
        {
            return;
        }
        self.announcements.insert(name.clone(), (announcement.clone(), now));
        self.forget_silent_instances(now);
        if !self.leads() {
            return;
        }
        let incarnation = announcement.incarnation.clone();
        if announcement.is_departure() {
            return self.on_departure(now, announcement, effects);
        }
        if generation.is_none_or(|current| current.born != born) {
            let next = generation.map_or(Generation::first(born), |current| current.next(born));
            self.generations.insert(name.clone(), next);
            let earlier = |other: &&Incarnation| other.name == name && **other < incarnation;
            let earlier: Vec<_> = self.instances.keys().filter(earlier).cloned().collect();
            for earlier in earlier {
                self.end_incarnation(now, &earlier, Departure::Replaced, effects);
            }
        }
        let ordered = self.machines.is_ordered(&announcement.machine);
        if !self.instances.contains_key(&incarnation) {
            self.machines.record_return(now, &announcement.machine);
        }
        let instance = self.instances.entry(incarnation.clone()).or_insert_with(|| {
            effects.push(note(
                "instance-joined",
                incarnation.to_string(),
                announcement.pool.to_string(),
            ));
            Box::new(Instance::new(None, now, now))
        });
        if instance.announcement.as_ref().map(|a| a.condition) != Some(announcement.condition) {
            self.needs_planning = true;
        }
        instance.draining |= ordered;
        instance.record_contact(now);
        record_latest(&mut self.latest_on_machine, &announcement);
        self.touched.insert(incarnation);
        instance.update_clock(announcement.clock, now);
        if let Some(remaining) = announcement.remaining {
            let ends_from = now.saturating_add(remaining);
            instance.ends_from = Some(instance.ends_from.map_or(ends_from, |at| at.min(ends_from)));
        }
        instance.announcement = Some(announcement);
    }

    /// Handles the report of an instance that it is about to end. Until it has ended it may work on, and
    /// its report does not tell when that is: what runs there is stopped, and starts elsewhere only
    /// once its end is known.
    fn on_departure(&mut self, now: Time, announcement: Announcement, effects: &mut Vec<Effect>) {
        let incarnation = announcement.incarnation.clone();
        let Some(instance) = self.instances.get_mut(&incarnation) else { return };
        instance.record_contact(now);
        instance.announcement = Some(announcement);
        let why = instance.on_board(now);
        effects.push(note("instance-leaving", incarnation.to_string(), why));
        self.stop_leaving(now, &incarnation);
        self.machines.expect_crash(now);
        self.needs_planning = true;
    }

    /// Requests the stop of everything on an instance that has reported its end, and a report of what
    /// still runs there.
    fn stop_leaving(&mut self, now: Time, incarnation: &Incarnation) {
        let Some(instance) = self.instances.get_mut(incarnation) else { return };
        let tasks: Vec<_> = instance.attempts.keys().copied().collect();
        for task in tasks {
            instance.request_stop(&task);
        }
        instance.request_report(now);
        self.touched.insert(incarnation.clone());
    }

    /// Removes the instances that have reported their end and on which nothing runs any more.
    fn remove_departed(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let departed = self.instances.iter().filter(|(_, instance)| instance.has_departed());
        let departed: Vec<_> = departed.map(|(incarnation, _)| incarnation.clone()).collect();
        for incarnation in departed {
            self.end_incarnation(now, &incarnation, Departure::Reported, effects);
        }
    }

    /// Requests the stop of the tasks that would not end before their instance does.
    fn vacate_instances(&mut self, now: Time, table: &Table, effects: &mut Vec<Effect>) {
        let Some(config) = &table.config else { return };
        let mut due = Vec::new();
        for (incarnation, instance) in &self.instances {
            if !instance.ends_soon(now) {
                continue;
            }
            let unfinished = instance.attempts.iter().filter(|(task, attempt)| {
                let remaining = self.remaining_time(now, table, config, **task, attempt);
                attempt.stage == Stage::Running
                    && !attempt.needs_stop()
                    && (attempt.long_lived
                        || remaining.is_none_or(|left| left > Attempt::STOP_TIME))
            });
            let unfinished = unfinished.map(|(task, attempt)| (*task, attempt.number));
            due.extend(unfinished.map(|(task, number)| (incarnation.clone(), task, number)));
        }
        for (incarnation, task, number) in due {
            if let Some(instance) = self.instances.get_mut(&incarnation) {
                instance.request_stop(&task);
            }
            let about = format!("{task} {number} {incarnation}");
            let why = "would not end before its instance, which drains".into();
            effects.push(note("task-vacated", about, why));
            self.touched.insert(incarnation);
        }
    }

    /// Drops the announcements of instances that have not been heard from for long.
    fn forget_silent_instances(&mut self, now: Time) {
        if now < self.last_forgotten + Self::ANNOUNCEMENT_VALIDITY / 4 {
            return;
        }
        self.last_forgotten = now;
        let is_recent = |at: Time| now < at + Self::ANNOUNCEMENT_VALIDITY;
        self.announcements.retain(|_, (_, heard)| is_recent(*heard));
        self.published.retain(|_, (_, at)| is_recent(*at));
    }

    /// Handles the end of an incarnation: what ran there is lost. It stays in the ledger until its
    /// end is committed.
    ///
    /// Requests are addressed by instance name, so a start request may have reached a later incarnation
    /// unless a report has shown the attempt on this one. Such an attempt moves to that incarnation, to
    /// be stopped there.
    pub(crate) fn end_incarnation(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        departure: Departure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(instance) = self.instances.remove(incarnation) else { return };
        self.needs_planning = true;
        let planned = departure.is_planned(self.is_leaving(&instance));
        let kind = if planned { "planned" } else { "crash" };
        let why = format!("{kind}: {departure}; {}", instance.on_board(now));
        effects.push(note("instance-lost", incarnation.to_string(), why));
        let later = self.generations.get(&incarnation.name).filter(|g| g.born > incarnation.born);
        let successor = later.map(|g| Incarnation { name: incarnation.name.clone(), born: g.born });
        let crashed_at = match departure {
            Departure::RackLost => None,
            _ => instance.crash_time(now),
        };
        let reasons = instance.crash_reasons(crashed_at);
        let silence = instance.silence(now);
        for (task, mut attempt) in instance.attempts {
            self.assigned.remove(&task);
            match (attempt.stage, &successor) {
                (Stage::Ending | Stage::Proposed, _) => {}
                (
                    Stage::Starting | Stage::Unanswered | Stage::Recovered | Stage::Running,
                    Some(successor),
                ) if !attempt.confirmed => {
                    if !planned && let Some(reason) = reasons.get(&task) {
                        attempt.end_if_absent = *reason;
                    }
                    let why = format!("{departure}, which may have received it; {silence}");
                    let about = format!("{task} {} {incarnation}", attempt.number);
                    effects.push(note("attempt-in-doubt", about, why));
                    attempt.stage = Stage::Unanswered;
                    attempt.stop_requested = true;
                    attempt.stop_sent = None;
                    attempt.conclusive_from = None;
                    let instance = self.instances.entry(successor.clone());
                    let instance =
                        instance.or_insert_with(|| Box::new(Instance::new(None, now, now)));
                    instance.expect_stray_calls(now);
                    self.assign(successor, task, attempt, None);
                }
                _ => {
                    let reason = reasons.get(&task).copied().filter(|_| !planned);
                    let reason = reason.unwrap_or(EndReason::Lost);
                    let Attempt { number, stage, started, checkpoint, .. } = attempt;
                    let age = now.saturating_sub(started).as_millis();
                    let why = format!("{reason}: {departure}; {stage:?} {age} ms; {silence}");
                    let about = format!("{task} {number} {incarnation}");
                    effects.push(note("attempt-over", about, why));
                    self.pending_ends.push(AttemptEnd { task, number, reason, checkpoint });
                }
            }
        }
    }

    /// Whether an instance was about to end: it drains, or its machine was ordered away.
    pub(crate) fn is_leaving(&self, instance: &Instance) -> bool {
        let Some(announcement) = &instance.announcement else { return instance.draining };
        let heard_before = |ordered: Time| instance.last_heard <= ordered;
        instance.draining
            || announcement.condition != Condition::Ready
            || self.machines.away.get(&announcement.machine).is_some_and(|at| heard_before(*at))
    }

    /// Assigns an attempt to an instance. `charge` is what it counts for, unless it is counted
    /// already.
    pub(crate) fn assign(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        attempt: Attempt,
        charge: Option<Charge>,
    ) {
        if let Some(instance) = self.instances.get_mut(incarnation) {
            if let Some(charge) = charge {
                self.ledger.add(task, attempt.number, charge);
            }
            instance.insert(task, attempt);
            self.assigned.insert(task, incarnation.clone());
        }
    }

    /// Records the tasks of which an instance reports attempts that are not assigned to it.
    pub(crate) fn record_strays(&mut self, incarnation: &Incarnation, tasks: &BTreeSet<TaskId>) {
        self.strays.retain(|task, by| by != incarnation || tasks.contains(task));
        self.strays.extend(tasks.iter().map(|task| (*task, incarnation.clone())));
        if let Some(instance) = self.instances.get_mut(incarnation) {
            instance.has_strays = !tasks.is_empty();
        }
    }

    /// Whether an attempt that is not assigned to its instance may be running.
    pub(crate) fn is_stray(&self, now: Time, task: &TaskId) -> bool {
        let instance = self.strays.get(task).and_then(|by| self.instances.get(by));
        instance.is_some_and(|instance| now < instance.lease_expires)
    }

    /// Removes an attempt from its instance, and stops counting it. Its instance may have been
    /// dropped earlier.
    pub(crate) fn unassign(&mut self, task: &TaskId, number: AttemptNumber) -> Option<Attempt> {
        self.ledger.remove(*task, number);
        let instance = self.instances.get_mut(self.assigned.get(task)?)?;
        let attempt = instance.remove(task, number)?;
        self.assigned.remove(task);
        Some(attempt)
    }

    /// Sends a request to an instance, unless its address is unknown.
    pub(crate) fn call_instance(
        &mut self,
        incarnation: &Incarnation,
        pending: PendingCall,
        order: Order,
        timeout: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let id = self.next_call_id();
        let address = self.instances.get(incarnation).and_then(|i| i.announcement.as_ref());
        let address = address.map(|announcement| announcement.address.clone());
        if let Some((address, token)) = address.zip(self.token_of(incarnation)) {
            let incarnation = incarnation.clone();
            self.calls.insert(id, (incarnation.clone(), pending));
            effects.push(Effect::CallInstance { id, incarnation, token, address, order, timeout });
        }
    }

    /// Fencing token of calls to an incarnation that has announced itself.
    fn token_of(&self, incarnation: &Incarnation) -> Option<Token> {
        self.generations.get(&incarnation.name)?.token(self.epoch?)
    }

    /// The longest lease that an instance may hold from the arrival of any call.
    pub(crate) fn longest_lease(&self) -> Duration {
        self.bounds.max_lease.max(Self::LEASE)
    }

    /// Current timeout of a start request.
    pub(crate) fn start_timeout(&self) -> Duration {
        (self.mean_start_time * Self::START_TIMEOUT_FACTOR)
            .clamp(Self::MIN_START_TIMEOUT, Self::ANSWER_TIMEOUT)
    }

    /// Adds the time until a start request was answered, or timed out, to the moving average.
    pub(crate) fn record_start_time(&mut self, took: Duration) {
        let divisor = Self::START_TIME_WEIGHT_DIVISOR;
        self.mean_start_time = self.mean_start_time * (divisor - 1) / divisor + took / divisor;
    }

    /// Adds the time until a batch was committed to the moving average.
    pub(crate) fn record_commit_time(&mut self, took: Duration) {
        let divisor = Self::START_TIME_WEIGHT_DIVISOR;
        self.mean_commit_time = self.mean_commit_time * (divisor - 1) / divisor + took / divisor;
    }

    /// Time that a group takes beyond the run time of its tasks: its claims are committed, its tasks
    /// are started, and their ends are committed. Before a batch can be proposed, the one in flight
    /// has to be committed, and a planning pass is due.
    pub(crate) fn group_overhead(&self) -> Duration {
        self.mean_commit_time * 3 + self.mean_start_time + self.plan_interval()
    }

    pub(crate) fn next_call_id(&mut self) -> CallId {
        self.last_call_id += 1;
        self.last_call_id
    }
}

/// Records the incarnation of an announcement as the latest on its machine, unless a later one has
/// announced itself.
fn record_latest(latest: &mut BTreeMap<Name, Incarnation>, announcement: &Announcement) {
    let Announcement { machine, incarnation, .. } = announcement;
    if latest.get(machine).is_none_or(|known| known.born <= incarnation.born) {
        latest.insert(machine.clone(), incarnation.clone());
    }
}

/// Creates an effect that writes a log entry.
pub(crate) fn note(what: &'static str, about: String, why: String) -> Effect {
    Effect::Note(Note { what, about, why })
}
