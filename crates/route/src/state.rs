use super::*;

/// Requests of one daemon and what it knows of the upstreams.
#[derive(Debug)]
pub struct State {
    pub(crate) id: Name,
    pub(crate) boot: u64,
    pub(crate) policy: Policy,
    pub(crate) born: Option<Time>,
    pub(crate) config: Arc<Config>,
    pub(crate) roster: Arc<Roster>,
    pub(crate) view: bool,
    stopping: bool,
    pub(crate) next_attempt: AttemptId,
    pub(crate) pending: Map<RequestId, Pending>,
    pub(crate) settled: Settled,
    pub(crate) flights: Map<AttemptId, Flight>,
    pub(crate) dispatchers: Vec<Dispatcher>,
    services: Map<Name, usize>,
    pub(crate) owners: Owners,
    pub(crate) departed: Map<Name, Time>,
    pub(crate) outbox: Outbox,
    pub(crate) resending: bool,
}

/// Slots that one request may use.
const MAX_ATTEMPTS: u32 = 3;

/// When a caller that was refused for another reason than load should come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl State {
    /// The dispatcher of the daemon `id`; `boot` differs between any two starts.
    pub fn new(id: Name, boot: u64, policy: Policy) -> Self {
        Self {
            owners: Owners::new(id.clone(), boot),
            id,
            boot,
            policy,
            born: None,
            config: Arc::default(),
            roster: Arc::default(),
            view: false,
            stopping: false,
            next_attempt: 0,
            pending: Map::default(),
            settled: Settled::default(),
            flights: Map::default(),
            dispatchers: Vec::new(),
            services: Map::default(),
            departed: Map::default(),
            outbox: Outbox::default(),
            resending: false,
        }
    }

    /// Takes one event, and says what is to be done.
    pub fn reduce(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.born.get_or_insert(now);
        match event {
            Event::Arrive(request) => self.arrive(now, request, &mut effects),
            Event::AttemptEnded { attempt, report } => {
                self.done(now, attempt, report, &mut effects)
            }
            Event::Decided(Decision::Claim(decision)) => self.decided(now, decision, &mut effects),
            Event::Decided(Decision::Roster(roster)) => self.enrol(now, roster, &mut effects),
            Event::Message { from, message } => self.message(now, from, message, &mut effects),
            Event::Timer(timer) => self.on_timer(now, timer, &mut effects),
            Event::Configured(config) => self.configure(config),
            Event::Serving(announcement) => self.serve(now, announcement, &mut effects),
            Event::NotServing(instance) => self.gone(&instance),
            Event::View(view) => self.look(now, view, &mut effects),
            Event::Stop => self.stopping = true,
        }
        self.outbox.flush(now, self.boot, &self.dispatchers, &mut effects);
        effects
    }

    /// Requests without a final answer.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Requests in flight on `instance`, and slots of it that this daemon has granted as broker,
    /// or that a broker before it may have granted.
    pub fn in_flight(&self, instance: &Name) -> u32 {
        let flights = self.flights.values().filter(|flight| flight.instance == *instance);
        let granted =
            self.dispatchers.iter().filter_map(|dispatcher| dispatcher.pool.find(instance));
        flights.count() as u32
            + granted.map(|upstream| upstream.in_flight + upstream.reserved).sum::<u32>()
    }

    /// Slots that this daemon has granted, for every service whose broker it is.
    pub fn granted(&self) -> usize {
        self.dispatchers.iter().map(|dispatcher| dispatcher.pool.granted()).sum()
    }

    fn on_timer(&mut self, now: Time, timer: Timer, effects: &mut Vec<Effect>) {
        match timer {
            Timer::Deadline(request) => self.expire(now, request, effects),
            Timer::Ask(resend) => self.ask_again(now, resend, effects),
            Timer::Pool(dispatcher) => {
                self.dispatchers[dispatcher].wakes = None;
                self.pump(now, dispatcher, effects);
            }
            Timer::Resend => self.resend(now, effects),
            Timer::Flush => self.outbox.wake(),
        }
    }

    fn arrive(&mut self, now: Time, request: Request, effects: &mut Vec<Effect>) {
        let pending = match self.accept(now, request) {
            Ok(pending) => pending,
            Err((request, outcome)) => return effects.push(Effect::Answer { request, outcome }),
        };
        let id = pending.request.id;
        let after = pending.deadline - now;
        effects.push(Effect::Subscribe { timer: Timer::Deadline(id), after });
        let claims = pending.phase == Phase::Claiming;
        if claims {
            self.claim(&pending.request, effects);
        }
        self.pending.insert(id, pending);
        if !claims {
            self.enqueue(now, id, effects);
        }
    }

    /// A request on its way, or what its caller learns at once.
    fn accept(&mut self, now: Time, request: Request) -> Result<Pending, (RequestId, Outcome)> {
        let id = request.id;
        let kind = self.config.kinds.get(&request.kind);
        let claims = request.key.is_some() && !kind.is_some_and(|kind| kind.idempotent);
        if self.stopping || !self.view {
            let reason = if self.stopping { Reason::Stopping } else { Reason::NoView };
            let outcome = if claims { Outcome::Unknown(reason) } else { not_run(reason) };
            return Err((id, outcome));
        }
        if !self.config.services.contains_key(&request.service) {
            return Err((id, not_run(Reason::UnknownService)));
        }
        let Some(kind) = kind else { return Err((id, not_run(Reason::UnknownKind))) };
        let (idempotent, longest) = (kind.idempotent, kind.deadline);
        let dispatcher = self.dispatcher(now, &request.service);
        Ok(Pending {
            deadline: now + request.timeout.unwrap_or(longest).min(longest),
            request,
            dispatcher,
            idempotent,
            turn: 0,
            may_have_run: false,
            avoid: None,
            sought: now,
            phase: if claims { Phase::Claiming } else { Phase::Waiting },
            claim: None,
            askers: Vec::new(),
        })
    }

    /// Queues a request, or refuses it at once.
    pub(crate) fn enqueue(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.phase = Phase::Waiting;
        let dispatcher = &mut self.dispatchers[pending.dispatcher];
        let service = self.config.services.get(&dispatcher.service);
        let most = service.map_or(0, |service| service.queue as usize);
        dispatcher.earn_retry();
        if dispatcher.waiting.len() >= most {
            return self.refuse(now, id, Reason::QueueFull, effects);
        }
        self.seek(now, id, effects);
    }

    fn done(&mut self, now: Time, id: AttemptId, report: Report, effects: &mut Vec<Effect>) {
        let Some(flight) = self.flights.remove(&id) else { return };
        let took = now - flight.started;
        if !self.pass(now, &flight, report, took, effects) {
            self.give_back(now, flight.dispatcher, flight.ticket, report, took);
        }
        self.conclude(now, id, &flight, report, effects);
        self.pump(now, flight.dispatcher, effects);
    }

    fn conclude(
        &mut self,
        now: Time,
        id: AttemptId,
        flight: &Flight,
        report: Report,
        effects: &mut Vec<Effect>,
    ) {
        let request = flight.ticket.request;
        let Some(pending) = self.pending.get_mut(&request) else { return };
        let certain = matches!(report, Report::NotSent | Report::Refused | Report::Unused);
        pending.may_have_run |= !certain;
        let repeatable = certain || report == Report::Broken && pending.idempotent;
        if repeatable && self.may_retry(now, request, report) {
            return self.retry(now, request, flight, effects);
        }
        let outcome = match report {
            Report::Answered => Outcome::Run(id),
            Report::Broken => Outcome::Unknown(Reason::Broken),
            Report::Late => Outcome::Unknown(Reason::Late),
            Report::NotSent | Report::Refused | Report::Unused => not_run(Reason::NotTaken),
        };
        self.finish(now, request, outcome, effects);
    }

    fn may_retry(&mut self, now: Time, request: RequestId, report: Report) -> bool {
        let Some(pending) = self.pending.get(&request) else { return false };
        if now >= pending.deadline || !self.view {
            return false;
        }
        if report == Report::Refused && self.policy.overcommits() {
            return true;
        }
        pending.turn + 1 < MAX_ATTEMPTS && self.dispatchers[pending.dispatcher].spend_retry()
    }

    fn retry(&mut self, now: Time, request: RequestId, flight: &Flight, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.turn += 1;
        pending.phase = Phase::Waiting;
        pending.avoid =
            Some(Avoid { instance: flight.instance.clone(), rack: flight.rack.clone() });
        self.seek(now, request, effects);
    }

    /// Answers a request; nothing further happens to it.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        request: RequestId,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.remove(&request) else { return };
        let outcome = match outcome {
            Outcome::NotRun { .. } if pending.may_have_run => Outcome::Unknown(Reason::Broken),
            outcome => outcome,
        };
        if pending.phase == Phase::Waiting {
            self.withdraw(&pending);
        }
        if let Some(claim) = pending.claim {
            match &outcome {
                Outcome::Run(attempt) => effects.push(Effect::Keep { request, attempt: *attempt }),
                Outcome::NotRun { .. } => {
                    effects.push(Effect::Propose(Command::Release(claim.clone())));
                }
                _ => {}
            }
            self.settled.insert(request, claim, outcome.clone());
        }
        effects.push(Effect::Answer { request, outcome });
        self.tell_askers(now, pending.askers, effects);
    }

    pub(crate) fn refuse(
        &mut self,
        now: Time,
        request: RequestId,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        self.finish(now, request, not_run(reason), effects);
    }

    /// Answers a request whose deadline has come; an attempt that runs keeps its slot.
    fn expire(&mut self, now: Time, request: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&request) else { return };
        let outcome = match pending.phase {
            Phase::Claiming => Outcome::Unknown(Reason::Undecided),
            Phase::Asking { .. } | Phase::Running(_) => Outcome::Unknown(Reason::Late),
            Phase::Waiting => not_run(Reason::NoSlot),
        };
        self.finish(now, request, outcome, effects);
    }

    /// Refuses what waits when the view is lost: nothing may be sent without one.
    fn look(&mut self, now: Time, view: bool, effects: &mut Vec<Effect>) {
        self.view = view;
        for dispatcher in 0..self.dispatchers.len() {
            if view {
                self.pump(now, dispatcher, effects);
                continue;
            }
            for request in self.dispatchers[dispatcher].waiting.clone() {
                self.refuse(now, request, Reason::NoView, effects);
            }
        }
    }

    fn configure(&mut self, config: Arc<Config>) {
        for dispatcher in &mut self.dispatchers {
            dispatcher.pool.configure(config.clone());
        }
        self.config = config;
    }

    fn serve(&mut self, now: Time, announcement: Announcement, effects: &mut Vec<Effect>) {
        let index = self.dispatcher(now, &announcement.service);
        self.leave_others(&announcement.instance, index);
        let slots = self.own_slots(&announcement);
        self.dispatchers[index].pool.serve(announcement, slots);
        self.pump(now, index, effects);
    }

    fn gone(&mut self, instance: &Name) {
        self.leave_others(instance, usize::MAX);
    }

    fn leave_others(&mut self, instance: &Name, keep: usize) {
        for (index, dispatcher) in self.dispatchers.iter_mut().enumerate() {
            if index != keep {
                dispatcher.pool.gone(instance);
            }
        }
    }

    /// Number of the dispatcher of `service`.
    pub(crate) fn dispatcher(&mut self, now: Time, service: &Name) -> usize {
        if let Some(dispatcher) = self.services.get(service) {
            return *dispatcher;
        }
        let index = self.dispatchers.len();
        let seed = self.boot ^ index as u64;
        let pool = Pool::new(self.policy, self.config.clone(), seed);
        self.dispatchers.push(Dispatcher::new(service.clone(), pool));
        self.services.insert(service.clone(), index);
        self.assign(now, index);
        index
    }
}

fn not_run(reason: Reason) -> Outcome {
    Outcome::NotRun { reason, retry_after: RETRY_AFTER }
}
