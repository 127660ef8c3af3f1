use super::*;

/// Attempts that one request may use.
const MAX_ATTEMPTS: u32 = 3;

/// When a caller that was refused should come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests of one daemon and what it knows of the upstreams.
#[derive(Debug, Default)]
pub struct State {
    config: Arc<Config>,
    view: bool,
    stopping: bool,
    next_attempt: AttemptId,
    upstreams: BTreeMap<Name, Upstream>,
    pending: Map<RequestId, Pending>,
    attempts: Map<AttemptId, Attempt>,
    queues: BTreeMap<Name, VecDeque<RequestId>>,
}

impl State {
    /// Takes one event, and says what is to be done.
    pub fn reduce(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Arrive(request) => self.arrive(now, request, &mut effects),
            Event::Done { attempt, report } => self.done(now, attempt, report, &mut effects),
            Event::Timer(Timer::Deadline(request)) => self.expire(request, &mut effects),
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

    /// Requests that this daemon has in flight on `instance`.
    pub fn in_flight(&self, instance: &Name) -> u32 {
        self.upstreams.get(instance).map_or(0, |upstream| upstream.in_flight)
    }

    fn arrive(&mut self, now: Time, request: Request, effects: &mut Vec<Effect>) {
        let admitted = self.admit(now, &request);
        let pending = match admitted {
            Ok(pending) => pending,
            Err(reason) => return refuse(request.id, reason, effects),
        };
        let (id, service) = (request.id, request.service);
        let timer = Timer::Deadline(id);
        effects.push(Effect::Subscribe { timer, after: pending.deadline - now });
        self.pending.insert(id, pending);
        self.queues.entry(service.clone()).or_default().push_back(id);
        self.dispatch(&service, effects);
    }

    fn admit(&self, now: Time, request: &Request) -> Result<Pending, Reason> {
        if self.stopping {
            return Err(Reason::Stopping);
        }
        if !self.view {
            return Err(Reason::NoView);
        }
        let service = self.config.services.get(&request.service).ok_or(Reason::UnknownService)?;
        let kind = self.config.kinds.get(&request.kind).ok_or(Reason::UnknownKind)?;
        let waiting = self.queues.get(&request.service).map_or(0, VecDeque::len);
        if waiting >= service.queue as usize {
            return Err(Reason::QueueFull);
        }
        Ok(Pending {
            request: request.clone(),
            idempotent: kind.idempotent,
            deadline: now + request.patience.unwrap_or(kind.deadline).min(kind.deadline),
            attempts: 0,
            running: None,
        })
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
        pending.running = Some(self.next_attempt);
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
        self.pending.remove(&tried.request);
        effects.push(Effect::Answer { request: tried.request, outcome });
    }

    fn requeue(&mut self, request: RequestId) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.running = None;
        let service = pending.request.service.clone();
        self.queues.entry(service).or_default().push_front(request);
    }

    /// Answers a request whose deadline has come; an attempt that runs is answered by its edge.
    fn expire(&mut self, request: RequestId, effects: &mut Vec<Effect>) {
        let waits = self.pending.get(&request).is_some_and(|pending| pending.running.is_none());
        if waits {
            self.pending.remove(&request);
            refuse(request, Reason::NoSlot, effects);
        }
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

fn refuse(request: RequestId, reason: Reason, effects: &mut Vec<Effect>) {
    effects.push(Effect::Answer { request, outcome: not_run(reason) });
}
