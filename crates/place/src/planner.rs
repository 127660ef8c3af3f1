use super::*;

/// Decides, on the leader, which jobs to place, resize and release, from the replicated state and
/// the platform's reports.
#[derive(Debug)]
pub struct Planner {
    pub(crate) term: Term,
    /// Whether this leader's [`Command::Lead`] was applied, so that its plans are accepted.
    pub(crate) is_leading: bool,
    /// Replicated time and local time at which this planner was created.
    clock_base: (Time, Time),
    pub(crate) last_plan: Time,
    pub(crate) slots: Vec<Slot>,
    pub(crate) slot_by_name: BTreeMap<Name, usize>,
    pub(crate) tasks: BTreeMap<Name, Task>,
    pub(crate) jobs_by_epoch: BTreeMap<Epoch, Name>,
    /// Tasks by the local time at which the next call about them is due.
    pub(crate) due: BTreeSet<(Time, Name)>,
    pub(crate) queue: BTreeSet<QueueKey>,
    pub(crate) queue_keys: BTreeMap<Name, QueueKey>,
    /// The last job that the previous pass tried, if it stopped before the end of the queue.
    pub(crate) cursor: Option<QueueKey>,
    /// Jobs and workers by the replicated time at which their back-off or quarantine ends.
    pub(crate) delayed: BTreeSet<(Time, Name)>,
    /// Placements that are proposed but not yet applied or refused: slot, reserve and team by job.
    pub(crate) proposed: BTreeMap<Name, (usize, Resources, Name)>,
    /// Sum of the reserves of those, by team.
    pub(crate) held_by_team: BTreeMap<Name, Resources>,
    /// Room kept free, by the waiting job that it is kept for.
    pub(crate) claims: BTreeMap<Name, Claim>,
    /// Cached slots of the workers that match a selector, see [`Self::eligible`].
    pub(crate) eligible: model::Map<Option<Selector>, Arc<[usize]>>,
    /// Reserves that found no room since free room last grew, by selector.
    pub(crate) blocked: model::Map<Option<Selector>, Vec<Resources>>,
    /// Steps for the next plan.
    steps: Vec<Step>,
    /// Output of the current [`Self::reduce`].
    pub(crate) orders: Vec<Order>,
}

impl Planner {
    /// Time between two planning passes.
    pub const TICK: Duration = Duration::from_millis(100);
    /// Maximum time between two plans. An empty plan advances replicated time if nothing else does.
    const CLOCK_INTERVAL: Duration = Duration::from_secs(5);

    /// Creates the planner of the leader of `term` from the replicated state alone.
    pub fn new(state: &State, term: Term, now: Time) -> Self {
        let mut planner = Self {
            term,
            is_leading: false,
            clock_base: (state.now(), now),
            last_plan: now,
            slots: Vec::new(),
            slot_by_name: BTreeMap::new(),
            tasks: BTreeMap::new(),
            jobs_by_epoch: BTreeMap::new(),
            due: BTreeSet::new(),
            queue: BTreeSet::new(),
            queue_keys: BTreeMap::new(),
            cursor: None,
            delayed: BTreeSet::new(),
            proposed: BTreeMap::new(),
            held_by_team: BTreeMap::new(),
            claims: BTreeMap::new(),
            eligible: model::Map::default(),
            blocked: model::Map::default(),
            steps: Vec::new(),
            orders: vec![Command::Lead { term }.into()],
        };
        for name in state.hosts().keys() {
            planner.sync_worker(state, name, now);
        }
        for id in state.jobs().keys() {
            planner.sync_job(state, id, now);
        }
        planner
    }

    /// Handles one event, and returns what is to be done.
    pub fn reduce(&mut self, state: &State, now: Time, event: Event) -> Vec<Order> {
        match event {
            Event::Tick => self.tick(state, now),
            Event::Started { job, epoch } => self.on_started(&job, epoch, now),
            Event::Ended { job, epoch, end } => self.on_ended(&job, epoch, end),
            Event::Usage(usage) => self.on_usage(state, &usage, now),
            Event::Lost { worker } => self.on_lost(&worker),
        }
        std::mem::take(&mut self.orders)
    }

    /// Handles an effect of a command that was applied to `state`.
    pub fn on_effect(&mut self, state: &State, now: Time, effect: &Effect) {
        match effect {
            Effect::Verdict { .. } | Effect::Cancelled { .. } => {}
            Effect::Job(id) => self.sync_job(state, id, now),
            Effect::Worker(name) => self.sync_worker(state, name, now),
            Effect::Lead(term) => self.is_leading = *term == self.term,
            Effect::Refused { step, refusal } => self.on_refused(state, step, refusal, now),
            Effect::Quotas => self.blocked.clear(),
        }
    }

    /// The leader's estimate of replicated time at local time `now`.
    pub fn clock(&self, now: Time) -> Time {
        let (replicated, local) = self.clock_base;
        replicated + now.saturating_sub(local)
    }

    /// Number of jobs that wait to be placed, without those that are backed off.
    pub fn waiting(&self) -> usize {
        self.queue_keys.len()
    }

    pub(crate) fn propose(&mut self, step: Step) {
        self.steps.push(step);
    }

    pub(crate) fn call(&mut self, job: &Name, epoch: Epoch, slot: usize, action: Action) {
        let worker = self.slots[slot].name.clone();
        self.orders.push(Call { job: job.clone(), epoch, worker, action }.into());
    }

    fn tick(&mut self, state: &State, now: Time) {
        if !self.is_leading {
            return;
        }
        self.watch_workers(state, now);
        self.send_due_calls(state, now);
        self.requeue_delayed(state, now);
        self.place_claimed(state, now);
        self.place_queued(state, now);
        self.propose_plan(now);
    }

    fn propose_plan(&mut self, now: Time) {
        if self.steps.is_empty() && now < self.last_plan + Self::CLOCK_INTERVAL {
            return;
        }
        self.last_plan = now;
        let steps = std::mem::take(&mut self.steps);
        let plan = Plan { term: self.term, at: self.clock(now), steps };
        self.orders.push(Command::Plan(plan).into());
    }
}
