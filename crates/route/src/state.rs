use super::*;

/// Attempts that one request may use.
const MAX_ATTEMPTS: u32 = 3;

/// When a caller that was refused should come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests of one daemon and what it knows of the upstreams.
#[derive(Debug)]
pub struct State {
    pub(crate) id: Name,
    pub(crate) boot: u64,
    config: Arc<Config>,
    view: bool,
    stopping: bool,
    next_attempt: AttemptId,
    upstreams: BTreeMap<Name, Upstream>,
    pub(crate) pending: Map<RequestId, Pending>,
    pub(crate) settled: Settled,
    attempts: Map<AttemptId, Attempt>,
    queues: BTreeMap<Name, VecDeque<RequestId>>,
}

impl State {
    /// The dispatcher of the daemon `id`; `boot` differs between any two starts.
    pub fn new(id: Name, boot: u64) -> Self {
        Self {
            id,
            boot,
            config: Arc::default(),
            view: false,
            stopping: false,
            next_attempt: 0,
            upstreams: BTreeMap::new(),
            pending: Map::default(),
            settled: Settled::default(),
            attempts: Map::default(),
            queues: BTreeMap::new(),
        }
    }

    /// Takes one event, and says what is to be done.
    pub fn reduce(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Arrive(request) => self.arrive(now, request, &mut effects),
            Event::Done { attempt, report } => self.done(now, attempt, report, &mut effects),
            Event::Decided(verdict) => self.decided(now, verdict, &mut effects),
            Event::Message { from, message } => self.message(now, from, message, &mut effects),
            Event::Timer(Timer::Deadline(request)) => self.expire(now, request, &mut effects),
            Event::Timer(Timer::Ask(resend)) => self.ask_again(now, resend, &mut effects),
            Event::Configured(config) => self.config = config,
            Event::Serving(announcement) => self.serve(announcement, &mut effects),
            Event::Gone(instance) => self.gone(&instance),
            Event::View(view) => self.view = view,
            Event::Stop => self.stopping = true,
        }
        effects
    }

    /// Requests without a final answer.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn arrive(&mut self, now: Time, request: Request, effects: &mut Vec<Effect>) {
        let pending = match self.accept(now, &request) {
            Ok(pending) => pending,
            Err(outcome) => return effects.push(Effect::Answer { request: request.id, outcome }),
        };
        let (id, timer) = (request.id, Timer::Deadline(request.id));
        effects.push(Effect::Subscribe { timer, after: pending.deadline - now });
        let claims = pending.phase == Phase::Claiming;
        self.pending.insert(id, pending);
        match &request.key {
            Some(key) if claims => self.claim(&request, key, effects),
            _ => self.enqueue(now, id, effects),
        }
    }

    /// A request on its way, or what its caller learns at once.
    fn accept(&self, now: Time, request: &Request) -> Result<Pending, Outcome> {
        let kind = self.config.kinds.get(&request.kind);
        let claims = request.key.is_some() && !kind.is_some_and(|kind| kind.idempotent);
        if self.stopping || !self.view {
            let reason = if self.stopping { Reason::Stopping } else { Reason::NoView };
            return Err(if claims { Outcome::Unknown(reason) } else { not_run(reason) });
        }
        if !self.config.services.contains_key(&request.service) {
            return Err(not_run(Reason::UnknownService));
        }
        let kind = kind.ok_or(not_run(Reason::UnknownKind))?;
        Ok(Pending {
            request: request.clone(),
            idempotent: kind.idempotent,
            deadline: now + request.patience.unwrap_or(kind.deadline).min(kind.deadline),
            attempts: 0,
            phase: if claims { Phase::Claiming } else { Phase::Waiting },
            claim: None,
            askers: Vec::new(),
        })
    }

    /// Queues a request, or refuses it at once.
    pub(crate) fn enqueue(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.phase = Phase::Waiting;
        let service = pending.request.service.clone();
        let most = self.config.services.get(&service).map_or(0, |service| service.queue as usize);
        let queue = self.queues.entry(service.clone()).or_default();
        if queue.len() >= most {
            return self.refuse(now, id, Reason::QueueFull, effects);
        }
        queue.push_back(id);
        self.dispatch(&service, effects);
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
        if let Some(claim) = pending.claim {
            match &outcome {
                Outcome::Run(attempt) => {
                    effects.push(Effect::Keep { request, attempt: *attempt });
                }
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

    fn dispatch(&mut self, service: &Name, effects: &mut Vec<Effect>) {
        if !self.view {
            return;
        }
        while let Some(instance) = self.least_loaded(service) {
            let Some(request) = self.next_waiting(service) else { return };
            self.attempt(request, &instance, effects);
        }
    }

    fn least_loaded(&self, service: &Name) -> Option<Name> {
        let free = self.upstreams.iter().filter(|(_, upstream)| {
            upstream.announcement.service == *service && upstream.has_slot()
        });
        free.min_by_key(|(_, upstream)| upstream.in_flight).map(|(name, _)| name.clone())
    }

    fn next_waiting(&mut self, service: &Name) -> Option<RequestId> {
        let queue = self.queues.get_mut(service)?;
        while let Some(request) = queue.pop_front() {
            if self.pending.contains_key(&request) {
                return Some(request);
            }
        }
        None
    }

    fn attempt(&mut self, request: RequestId, instance: &Name, effects: &mut Vec<Effect>) {
        let Some(upstream) = self.upstreams.get_mut(instance) else { return };
        let Some(pending) = self.pending.get_mut(&request) else { return };
        self.next_attempt += 1;
        upstream.in_flight += 1;
        pending.attempts += 1;
        pending.phase = Phase::Running(self.next_attempt);
        let attempt = Attempt {
            id: self.next_attempt,
            request,
            instance: instance.clone(),
            address: upstream.announcement.address.clone(),
            deadline: pending.deadline,
        };
        self.attempts.insert(attempt.id, attempt.clone());
        effects.push(Effect::Attempt(attempt));
    }

    fn done(&mut self, now: Time, id: AttemptId, report: Report, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let Some(upstream) = self.upstreams.get_mut(&attempt.instance) else { return };
        upstream.in_flight -= 1;
        let service = upstream.announcement.service.clone();
        self.conclude(now, &attempt, report, effects);
        self.dispatch(&service, effects);
    }

    fn conclude(&mut self, now: Time, tried: &Attempt, report: Report, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&tried.request) else { return };
        let again = pending.attempts < MAX_ATTEMPTS && now < pending.deadline;
        let outcome = match report {
            Report::Answered => Outcome::Run(tried.id),
            Report::NotSent | Report::Refused if again => return self.requeue(tried.request),
            Report::Broken if again && pending.idempotent => return self.requeue(tried.request),
            Report::NotSent | Report::Refused => not_run(Reason::NotTaken),
            Report::Broken => Outcome::Unknown(Reason::Broken),
            Report::Late => Outcome::Unknown(Reason::Late),
        };
        self.finish(now, tried.request, outcome, effects);
    }

    fn requeue(&mut self, request: RequestId) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.phase = Phase::Waiting;
        let service = pending.request.service.clone();
        self.queues.entry(service).or_default().push_front(request);
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

    fn serve(&mut self, announcement: Announcement, effects: &mut Vec<Effect>) {
        let service = announcement.service.clone();
        let instance = announcement.instance.clone();
        let in_flight = self.upstreams.get(&instance).map_or(0, |upstream| upstream.in_flight);
        self.upstreams.insert(instance, Upstream { announcement, serving: true, in_flight });
        self.dispatch(&service, effects);
    }

    fn gone(&mut self, instance: &Name) {
        if let Some(upstream) = self.upstreams.get_mut(instance) {
            upstream.serving = false;
        }
    }
}

fn not_run(reason: Reason) -> Outcome {
    Outcome::NotRun { reason, retry_after: RETRY_AFTER }
}
