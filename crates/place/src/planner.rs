use super::*;

/// The leader's decisions about jobs, from the replicated state and what the platform reports.
#[derive(Debug)]
pub struct Planner {
    pub(crate) term: Term,
    /// Whether the log knows this leader.
    pub(crate) leads: bool,
    /// Replicated time at the start of this planner, and its local time then.
    epoch_time: (Time, Time),
    pub(crate) last_plan: Time,
    pub(crate) slots: Vec<Slot>,
    pub(crate) numbers: BTreeMap<Name, usize>,
    pub(crate) tasks: BTreeMap<Name, Task>,
    pub(crate) jobs_by_epoch: BTreeMap<Epoch, Name>,
    pub(crate) due: BTreeSet<(Time, Name)>,
    pub(crate) queue: BTreeSet<Want>,
    pub(crate) wants: BTreeMap<Name, Want>,
    /// Where the last pass over the queue stopped.
    pub(crate) cursor: Option<Want>,
    pub(crate) delayed: BTreeSet<(Time, Name)>,
    /// Placements that the log has not judged, with worker, reserve and team.
    pub(crate) proposed: BTreeMap<Name, (usize, Resources, Name)>,
    /// What those hold, by team.
    pub(crate) held_by: BTreeMap<Name, Resources>,
    pub(crate) claims: BTreeMap<Name, Claim>,
    /// Workers by selector.
    pub(crate) eligible: model::Map<Option<Selector>, Arc<[usize]>>,
    /// Reserves that found no room since room last grew, by selector.
    pub(crate) blocked: model::Map<Option<Selector>, Vec<Resources>>,
    steps: Vec<Step>,
    pub(crate) orders: Vec<Order>,
}

impl Planner {
    /// Time between two passes.
    pub const TICK: Duration = Duration::from_millis(100);
    /// Longest time for which replicated time stands still.
    const CLOCK: Duration = Duration::from_secs(5);

    /// The planner of the leader of `term`, from the replicated state alone.
    pub fn new(state: &State, term: Term, now: Time) -> Self {
        let mut planner = Self {
            term,
            leads: false,
            epoch_time: (state.now(), now),
            last_plan: now,
            slots: Vec::new(),
            numbers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            jobs_by_epoch: BTreeMap::new(),
            due: BTreeSet::new(),
            queue: BTreeSet::new(),
            wants: BTreeMap::new(),
            cursor: None,
            delayed: BTreeSet::new(),
            proposed: BTreeMap::new(),
            held_by: BTreeMap::new(),
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

    /// Takes one event, and says what is to be done.
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

    /// Takes what followed from a command.
    pub fn on_effect(&mut self, state: &State, now: Time, effect: &Effect) {
        match effect {
            Effect::Verdict { .. } | Effect::Cancelled { .. } => {}
            Effect::Job(id) => self.sync_job(state, id, now),
            Effect::Worker(name) => self.sync_worker(state, name, now),
            Effect::Lead(term) => self.leads = *term == self.term,
            Effect::Refused { step, refusal } => self.on_refused(state, step, refusal, now),
            Effect::Quotas => self.blocked.clear(),
        }
    }

    /// Replicated time as this leader sees it.
    pub fn clock(&self, now: Time) -> Time {
        let (replicated, local) = self.epoch_time;
        replicated + now.saturating_sub(local)
    }

    /// Jobs that wait for a place.
    pub fn waiting(&self) -> usize {
        self.wants.len()
    }

    pub(crate) fn propose(&mut self, step: Step) {
        self.steps.push(step);
    }

    pub(crate) fn call(&mut self, job: &Name, epoch: Epoch, slot: usize, action: Action) {
        let worker = self.slots[slot].name.clone();
        self.orders.push(Call { job: job.clone(), epoch, worker, action }.into());
    }

    fn tick(&mut self, state: &State, now: Time) {
        if !self.leads {
            return;
        }
        self.watch_workers(state, now);
        self.take_due(state, now);
        self.take_delayed(state, now);
        self.fill_claims(state, now);
        self.take_queue(state, now);
        self.plan(now);
    }

    fn plan(&mut self, now: Time) {
        if self.steps.is_empty() && now < self.last_plan + Self::CLOCK {
            return;
        }
        self.last_plan = now;
        let steps = std::mem::take(&mut self.steps);
        let plan = Plan { term: self.term, at: self.clock(now), steps };
        self.orders.push(Command::Plan(plan).into());
    }
}
