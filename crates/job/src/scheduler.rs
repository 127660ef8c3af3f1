use super::*;

/// Decides for the instances of every pool, on the leader only.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub(crate) bounds: Bounds,
    /// Term of this owner; `None` while another leads.
    pub(crate) epoch: Option<Epoch>,
    /// When it began to lead.
    pub(crate) since: Time,
    /// Every life of an instance that may run something.
    pub(crate) instances: BTreeMap<Incarnation, Instance>,
    /// Who has each attempt without a committed end.
    pub(crate) placed: BTreeMap<TaskId, Incarnation>,
    /// Last life heard on each machine.
    pub(crate) machine_lives: BTreeMap<Name, Incarnation>,
    /// Instances to look at after the present event.
    pub(crate) touched: BTreeSet<Incarnation>,
    /// Attempts in the batch under way.
    pub(crate) claiming: Vec<(TaskId, AttemptNumber)>,
    /// Instances with ends in the batch under way.
    pub(crate) acknowledging: Vec<Incarnation>,
    /// Present life of each instance.
    pub(crate) current: BTreeMap<Name, UnixMs>,
    /// What was heard before this owner led, and while it leads.
    pub(crate) roster: BTreeMap<Name, (Announcement, Time)>,
    pub(crate) calls: Map<CallId, (Incarnation, Pending)>,
    last_call: CallId,
    /// Ends that wait to be proposed.
    pub(crate) ends: Vec<AttemptEnd>,
    /// Whether a batch is under way.
    pub(crate) settling: bool,
    /// Whether something changed since the last plan.
    pub(crate) dirty: bool,
    pub(crate) planned: Time,
    /// When the waves were last looked at.
    pub(crate) maintained: Time,
    /// When the pools were last looked at.
    pub(crate) lent: Time,
    /// When each pool last had its turn.
    pub(crate) turns: BTreeMap<Name, Time>,
    /// Pools that lack machines.
    pub(crate) lacking: BTreeSet<Name>,
    /// When the pools were last reported.
    pub(crate) reported: Time,
    pub(crate) machines: machines::Machines,
    pub(crate) durations: Durations,
    /// Usual time from an order to start to its answer.
    start_time: Duration,
    /// On which instances the policies of queues let tasks run.
    pub(crate) policy: Policy,
}

/// A call that has no answer yet.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Pending {
    Start(TaskId, AttemptNumber),
    Stop(TaskId, AttemptNumber),
    Renew { sent: Time },
    Throttle,
}

impl Scheduler {
    /// How long a lease lasts; several renewals fit into it, and an election.
    pub const LEASE: Duration = Duration::from_millis(5500);
    /// How long a renewal may wait for an end.
    pub(crate) const WAIT: Duration = Duration::from_millis(1000);
    /// Wait of a renewal where fillers run beside tasks with a latency target.
    pub(crate) const WATCH: Duration = Duration::from_millis(400);
    /// How long an answer may take beyond the wait that was asked for.
    pub(crate) const ANSWER: Duration = Duration::from_millis(700);
    /// How long the answer to a start may take at least; a lost packet is sent again within it. Then a
    /// renewal tells whether the task runs.
    const START_ANSWER: Duration = Duration::from_millis(250);
    /// How many times the usual time of an answer it may take: an owner short of processor time gets its
    /// answers late, and must not make more work of that.
    const START_PATIENCE: u32 = 8;
    /// Share of the last answer in the usual time, as a divisor.
    const START_SHARE: u32 = 32;
    /// Between a renewal that had no answer and the next.
    pub(crate) const RETRY: Duration = Duration::from_millis(100);
    /// Between two orders to stop the same attempt.
    pub(crate) const STOP_AGAIN: Duration = Duration::from_millis(250);
    /// Between the events that make one plan.
    pub(crate) const PLAN_INTERVAL: Duration = Duration::from_millis(8);
    /// After which an idle owner plans again, since time alone changes what is due.
    pub(crate) const PLAN_IDLE: Duration = Duration::from_millis(50);

    /// An owner that does not lead yet.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Whether this owner leads.
    pub fn leads(&self) -> bool {
        self.epoch.is_some()
    }

    /// What it amounts to that the instance `name` says it has ended, `None` where it is of no
    /// present life. A word that names no life counts only for one that was draining, since it may
    /// have been on its way while the instance started again.
    pub fn departure(&self, name: &Name, born: Option<UnixMs>) -> Option<Announcement> {
        let (known, _) = self.roster.get(name)?;
        let leaves = match born {
            Some(born) => born == known.incarnation.born,
            None => known.condition == Condition::Draining,
        };
        leaves.then(|| Announcement { condition: Condition::Gone, ..known.clone() })
    }

    /// Takes one event, and says what is to be done.
    pub fn reduce(&mut self, now: Time, unix: UnixMs, table: &Table, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Lead { epoch } => self.lead(now, table, epoch, &mut effects),
            Event::Resign => self.resign(),
            Event::Announced(announcement) => self.on_announced(now, announcement, &mut effects),
            Event::InstanceAnswered { id, result } => {
                self.on_answered(now, table, id, result, &mut effects);
            }
            Event::PlatformAnswered { id, result } => {
                self.on_machine(now, id, result, &mut effects);
            }
            Event::BatchCommitted(outcomes) => {
                self.on_settled(now, table, &outcomes, &mut effects);
                self.on_committed(table, &outcomes);
            }
            Event::CommandCommitted(outcomes) => self.on_committed(table, &outcomes),
            Event::AdmissionAnswered { id, result } => {
                self.on_decided(now, id, result, &mut effects)
            }
            Event::MaxQueries(askers) => self.on_askers(askers),
            Event::Tick => {
                self.touched.extend(self.instances.keys().cloned());
                self.lapse(now, &mut effects);
                if self.leads() {
                    self.look_at_machines(now, &mut effects);
                    self.maintain(now, table);
                    self.lend(now, unix, table, &mut effects);
                }
            }
        }
        if self.leads() {
            let touched = std::mem::take(&mut self.touched);
            self.stop_due(now, &touched, &mut effects);
            self.renew_due(now, table, touched, &mut effects);
            self.settle(now, unix, table, &mut effects);
            self.seek_leave(now, unix, table, &mut effects);
        }
        effects
    }

    /// Begins to lead: every attempt in the table may be running.
    fn lead(&mut self, now: Time, table: &Table, epoch: Epoch, effects: &mut Vec<Effect>) {
        self.resign();
        self.epoch = Some(epoch);
        self.since = now;
        self.machines.recover(now, table);
        let lapses = Instance::lapse_after(now, self.bounds.max_lease);
        for (announcement, heard) in self.roster.values() {
            if announcement.condition != Condition::Gone {
                let mut instance = Instance::new(Some(announcement.clone()), *heard, lapses);
                instance.renew_at = now;
                self.instances.insert(announcement.incarnation.clone(), instance);
                let Incarnation { name, born } = announcement.incarnation.clone();
                self.machine_lives
                    .insert(announcement.machine.clone(), announcement.incarnation.clone());
                self.current.insert(name, born);
            }
        }
        for id in &table.live {
            let Some(record) = table.jobs.get(id) else { continue };
            for claim in record.claims(*id) {
                let group = record.group(claim.task);
                let mut attempt = Attempt::new(claim.number, Stage::Recovered, group, now);
                attempt.settled = Some(now);
                attempt.stop = record.state.is_terminal();
                let instance = self.instances.entry(claim.incarnation.clone());
                instance.or_insert_with(|| Instance::new(None, now, lapses));
                self.put(&claim.incarnation, claim.task, attempt);
            }
        }
        let outdated: Vec<_> = self.outdated().collect();
        for incarnation in outdated {
            self.end_life(now, &incarnation, "a later life has announced itself", effects);
        }
        self.dirty = true;
    }

    /// Lives that are over, since a later one of the same instance is known.
    fn outdated(&self) -> impl Iterator<Item = Incarnation> {
        let later = |i: &&Incarnation| self.current.get(&i.name).is_some_and(|born| *born > i.born);
        self.instances.keys().filter(later).cloned()
    }

    fn resign(&mut self) {
        self.epoch = None;
        self.instances.clear();
        self.current.clear();
        self.placed.clear();
        self.machine_lives.clear();
        self.touched.clear();
        self.acknowledging.clear();
        self.calls.clear();
        self.ends.clear();
        self.settling = false;
        self.machines = machines::Machines::default();
        self.policy.resign();
    }

    fn on_announced(&mut self, now: Time, announcement: Announcement, effects: &mut Vec<Effect>) {
        let name = announcement.incarnation.name.clone();
        if let Some((known, _)) = self.roster.get(&name)
            && !announcement.supersedes(known)
        {
            return;
        }
        self.roster.insert(name.clone(), (announcement.clone(), now));
        if !self.leads() {
            return;
        }
        let incarnation = announcement.incarnation.clone();
        if announcement.condition == Condition::Gone {
            return self.end_life(now, &incarnation, "the instance has left", effects);
        }
        self.current.insert(name.clone(), incarnation.born);
        let first = Incarnation { name, born: 0 };
        let former = self.instances.range(first..incarnation.clone()).map(|(life, _)| life.clone());
        for former in former.collect::<Vec<_>>() {
            self.end_life(now, &former, "a later life has announced itself", effects);
        }
        let lapses = now;
        let ordered = self.machines.is_ordered(&announcement.machine);
        let instance = self.instances.entry(incarnation.clone()).or_insert_with(|| {
            effects.push(note(
                "instance-joined",
                incarnation.to_string(),
                announcement.pool.to_string(),
            ));
            Instance::new(None, now, lapses)
        });
        if instance.announcement.as_ref().map(|a| a.condition) != Some(announcement.condition) {
            self.dirty = true;
        }
        instance.evacuating |= ordered;
        instance.heard = now;
        self.machine_lives.insert(announcement.machine.clone(), incarnation.clone());
        self.touched.insert(incarnation);
        instance.take_clock(announcement.clock, now);
        instance.announcement = Some(announcement);
    }

    /// Takes it that a life of an instance is over: what ran there is lost.
    ///
    /// An order to start that has no answer, or was given by a former owner, may have reached a later life
    /// of the same instance, since orders go by its name. Such an attempt moves there, to be stopped.
    pub(crate) fn end_life(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        why: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        let Some(instance) = self.instances.remove(incarnation) else { return };
        self.dirty = true;
        let later = self.current.get(&incarnation.name).filter(|born| **born > incarnation.born);
        let successor =
            later.map(|born| Incarnation { name: incarnation.name.clone(), born: *born });
        for (task, mut attempt) in instance.attempts {
            self.placed.remove(&task);
            match (attempt.stage, &successor) {
                (Stage::Ending | Stage::Proposed, _) => {}
                (Stage::Starting | Stage::Unanswered | Stage::Recovered, Some(successor)) => {
                    attempt.stage = Stage::Unanswered;
                    attempt.stop = true;
                    attempt.stop_sent = None;
                    attempt.settled = None;
                    let instance = self.instances.entry(successor.clone());
                    instance.or_insert_with(|| Instance::new(None, now, now));
                    self.put(successor, task, attempt);
                }
                _ => {
                    let Attempt { number, checkpoint, .. } = attempt;
                    self.ends.push(AttemptEnd {
                        task,
                        number,
                        reason: EndReason::Lost,
                        checkpoint,
                    });
                }
            }
        }
        effects.push(note("instance-lost", incarnation.to_string(), why.into()));
    }

    /// Gives an attempt to an instance.
    pub(crate) fn put(&mut self, incarnation: &Incarnation, task: TaskId, attempt: Attempt) {
        if let Some(instance) = self.instances.get_mut(incarnation) {
            instance.insert(task, attempt);
            self.placed.insert(task, incarnation.clone());
        }
    }

    /// Takes an attempt away from its instance.
    pub(crate) fn take(&mut self, task: &TaskId, number: AttemptNumber) -> Option<Attempt> {
        let instance = self.instances.get_mut(self.placed.get(task)?)?;
        let attempt = instance.remove(task, number)?;
        self.placed.remove(task);
        Some(attempt)
    }

    pub(crate) fn call(
        &mut self,
        incarnation: &Incarnation,
        pending: Pending,
        order: Order,
        timeout: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let id = self.next_call();
        let address = self.instances.get(incarnation).and_then(|i| i.announcement.as_ref());
        if let Some(address) = address.map(|announcement| announcement.address.clone()) {
            let incarnation = incarnation.clone();
            self.calls.insert(id, (incarnation.clone(), pending));
            effects.push(Effect::CallInstance { id, incarnation, address, order, timeout });
        }
    }

    /// How long the answer to a start may take now.
    pub(crate) fn start_timeout(&self) -> Duration {
        (self.start_time * Self::START_PATIENCE).clamp(Self::START_ANSWER, Self::ANSWER)
    }

    /// Takes it that an order to start was answered, or given up, after `took`.
    pub(crate) fn note_start(&mut self, took: Duration) {
        let share = Self::START_SHARE;
        self.start_time = self.start_time * (share - 1) / share + took / share;
    }

    pub(crate) fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        self.last_call
    }
}

pub(crate) fn note(what: &'static str, about: String, why: String) -> Effect {
    Effect::Note(Note { what, about, why })
}
