use super::*;

/// Routing state of one daemon: its pending requests, the upstreams that it knows, and the slots
/// that it grants or holds. Changes by [`State::reduce`] alone; does no I/O.
#[derive(Debug)]
pub struct State {
    /// Name of this daemon.
    pub(crate) id: Name,
    /// Boot id of this daemon.
    pub(crate) boot: u64,
    pub(crate) policy: Policy,
    /// Time of the first event.
    pub(crate) started_at: Option<Time>,
    pub(crate) config: Arc<Config>,
    pub(crate) roster: Arc<Roster>,
    /// Whether the daemon may act on its configuration, see [`Event::View`].
    pub(crate) view: bool,
    /// Whether new requests are refused because the daemon is shutting down.
    stopping: bool,
    /// Deadline of all requests, because the daemon is shutting down.
    bound: Option<Time>,
    /// Number of the last attempt.
    pub(crate) last_attempt: AttemptId,
    /// Requests without a final answer.
    pub(crate) pending: Map<RequestId, Pending>,
    pub(crate) claimed_outcomes: ClaimedOutcomes,
    /// Attempts in progress, including those whose request already has its final answer.
    pub(crate) running: Map<AttemptId, RunningAttempt>,
    pub(crate) dispatchers: Vec<Dispatcher>,
    /// Indices into `dispatchers` by service.
    services: Map<Name, usize>,
    pub(crate) owners: OwnerTable,
    /// Daemons that have left the roster, with the time at which this daemon saw that.
    pub(crate) departed: Map<Name, Time>,
    pub(crate) outbox: Outbox,
    /// Whether [`Timer::Resend`] is set.
    pub(crate) resend_scheduled: bool,
}

/// Maximum number of slots that a request may use or return before it is no longer retried.
/// Refusals under an overcommitting policy are retried without this limit.
const MAX_ATTEMPTS: u32 = 3;

/// Delay that a caller is asked to wait when a request is refused for another reason than load.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl State {
    /// State of the daemon `id` at its start. The boot id `boot` must differ between any two
    /// starts.
    pub fn new(id: Name, boot: u64, policy: Policy) -> Self {
        Self {
            owners: OwnerTable::new(id.clone(), boot),
            id,
            boot,
            policy,
            started_at: None,
            config: Arc::default(),
            roster: Arc::default(),
            view: false,
            stopping: false,
            bound: None,
            last_attempt: 0,
            pending: Map::default(),
            claimed_outcomes: ClaimedOutcomes::default(),
            running: Map::default(),
            dispatchers: Vec::new(),
            services: Map::default(),
            departed: Map::default(),
            outbox: Outbox::default(),
            resend_scheduled: false,
        }
    }

    /// Handles one event and returns the effects to carry out.
    pub fn reduce(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.started_at.get_or_insert(now);
        match event {
            Event::Arrive(request) => self.on_arrive(now, request, &mut effects),
            Event::AttemptEnded { attempt, report } => {
                self.on_attempt_ended(now, attempt, report, &mut effects)
            }
            Event::Decided(Decision::Claim(decision)) => {
                self.on_claim_decision(now, decision, &mut effects)
            }
            Event::Decided(Decision::Roster(roster)) => self.set_roster(now, roster, &mut effects),
            Event::Message { from, message } => self.on_message(now, from, message, &mut effects),
            Event::Timer(timer) => self.on_timer(now, timer, &mut effects),
            Event::Configured(config) => self.configure(config),
            Event::Serving(announcement) => self.on_serving(now, announcement, &mut effects),
            Event::NotServing(instance) => self.on_not_serving(&instance),
            Event::View(view) => self.set_view(now, view, &mut effects),
            Event::Stop => self.stopping = true,
            Event::Bound(until) => self.bound_requests(now, until, &mut effects),
        }
        self.outbox.flush(now, self.boot, &self.dispatchers, &mut effects);
        effects
    }

    /// Sets the deadline of all requests, those that wait and those to come.
    fn bound_requests(&mut self, now: Time, until: Time, effects: &mut Vec<Effect>) {
        self.bound = Some(until);
        let late = self.pending.iter().filter(|(_, pending)| pending.deadline > until);
        let mut late: Vec<_> = late.map(|(id, _)| *id).collect();
        late.sort_unstable();
        let after = until.saturating_sub(now);
        effects.extend(
            late.into_iter().map(|id| Effect::Subscribe { timer: Timer::Deadline(id), after }),
        );
    }

    /// Number of requests without a final answer.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Number of attempts of this daemon on `instance`, plus the number of its slots that this
    /// daemon has granted as the broker, or has reserved because an earlier broker may have granted
    /// them. A broker counts its own attempts twice, so only 0 or not 0 is exact.
    pub fn in_flight(&self, instance: &Name) -> u32 {
        let running = self.running.values().filter(|attempt| attempt.instance == *instance);
        let granted =
            self.dispatchers.iter().filter_map(|dispatcher| dispatcher.pool.find(instance));
        running.count() as u32
            + granted.map(|upstream| upstream.in_flight + upstream.reserved).sum::<u32>()
    }

    /// Number of slots that this daemon has granted for all services whose broker it is.
    pub fn granted(&self) -> usize {
        self.dispatchers.iter().map(|dispatcher| dispatcher.pool.granted()).sum()
    }

    fn on_timer(&mut self, now: Time, timer: Timer, effects: &mut Vec<Effect>) {
        match timer {
            Timer::Deadline(request) => self.on_deadline(now, request, effects),
            Timer::Ask(resend) => self.ask_again(now, resend, effects),
            Timer::Pool(dispatcher) => {
                self.dispatchers[dispatcher].next_wake = None;
                self.process_queue(now, dispatcher, effects);
            }
            Timer::Resend => self.resend(now, effects),
            Timer::Flush => self.outbox.on_timer(),
        }
    }

    /// Admits a request, and then claims its key or requests a slot.
    fn on_arrive(&mut self, now: Time, request: Request, effects: &mut Vec<Effect>) {
        let pending = match self.admit(now, request) {
            Ok(pending) => pending,
            Err((request, outcome)) => return effects.push(Effect::Answer { request, outcome }),
        };
        let id = pending.request.id;
        let after = pending.deadline - now;
        effects.push(Effect::Subscribe { timer: Timer::Deadline(id), after });
        let needs_claim = pending.phase == Phase::Claiming;
        if needs_claim {
            self.claim(&pending.request, effects);
        }
        self.pending.insert(id, pending);
        if !needs_claim {
            self.enqueue(now, id, effects);
        }
    }

    /// Decides on the admission of a request. Returns the pending request, or the outcome if it is
    /// refused at once.
    ///
    /// Without a view of the configuration, a request with a claim gets an unknown outcome instead
    /// of `NotRun`: an earlier send of it may have run.
    fn admit(&mut self, now: Time, request: Request) -> Result<Pending, (RequestId, Outcome)> {
        let id = request.id;
        let kind = self.config.kinds.get(&request.kind);
        let needs_claim = request.key.is_some() && !kind.is_some_and(|kind| kind.idempotent);
        let stopping = self.stopping || self.is_bound(now);
        if stopping || !self.view {
            let reason = if stopping { Reason::Stopping } else { Reason::NoView };
            let outcome = if needs_claim { Outcome::Unknown(reason) } else { not_run(reason) };
            return Err((id, outcome));
        }
        if !self.config.services.contains_key(&request.service) {
            return Err((id, not_run(Reason::UnknownService)));
        }
        let Some(kind) = kind else { return Err((id, not_run(Reason::UnknownKind))) };
        let (idempotent, max_deadline) = (kind.idempotent, kind.deadline);
        let dispatcher = self.dispatcher(now, &request.service);
        let deadline = now + request.timeout.unwrap_or(max_deadline).min(max_deadline);
        Ok(Pending {
            deadline: self.bound.map_or(deadline, |bound| bound.min(deadline)),
            request,
            dispatcher,
            idempotent,
            turn: 0,
            may_have_run: false,
            avoid: None,
            requested_at: now,
            phase: if needs_claim { Phase::Claiming } else { Phase::Waiting },
            claim: None,
            askers: Vec::new(),
        })
    }

    /// Requests a slot for a new request, or refuses it if as many requests of this daemon wait for
    /// the service as its queue may hold.
    pub(crate) fn enqueue(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.phase = Phase::Waiting;
        let dispatcher = &mut self.dispatchers[pending.dispatcher];
        let service = self.config.services.get(&dispatcher.service);
        let queue_limit = service.map_or(0, |service| service.queue as usize);
        dispatcher.earn_retry();
        if dispatcher.waiting.len() >= queue_limit {
            return self.refuse(now, id, Reason::QueueFull, effects);
        }
        self.request_slot(now, id, effects);
    }

    fn on_attempt_ended(
        &mut self,
        now: Time,
        id: AttemptId,
        report: Report,
        effects: &mut Vec<Effect>,
    ) {
        let Some(attempt) = self.running.remove(&id) else { return };
        let took = now - attempt.started;
        if !self.pass_on_slot(now, &attempt, report, took, effects) {
            self.release_slot(now, attempt.dispatcher, attempt.ticket, report, took);
        }
        self.finish_or_retry(now, id, &attempt, report, effects);
        self.process_queue(now, attempt.dispatcher, effects);
    }

    /// Answers a request whose attempt has ended, or retries it. A request that certainly did not
    /// run is retried, as is an idempotent one whose answer broke off.
    fn finish_or_retry(
        &mut self,
        now: Time,
        id: AttemptId,
        attempt: &RunningAttempt,
        report: Report,
        effects: &mut Vec<Effect>,
    ) {
        let request = attempt.ticket.request;
        let Some(pending) = self.pending.get_mut(&request) else { return };
        let did_not_run = matches!(report, Report::NotSent | Report::Refused | Report::Unused);
        pending.may_have_run |= !did_not_run;
        let may_repeat = did_not_run || report == Report::Broken && pending.idempotent;
        if may_repeat && self.may_retry(now, request, report) {
            return self.retry(now, request, attempt, effects);
        }
        let outcome = match report {
            Report::Answered => Outcome::Run(id),
            Report::Broken => Outcome::Unknown(Reason::Broken),
            Report::Late => Outcome::Unknown(Reason::Late),
            Report::NotSent | Report::Refused | Report::Unused => not_run(Reason::NotTaken),
        };
        self.finish(now, request, outcome, effects);
    }

    /// Whether a request may be retried. With an overcommitting policy, refusals by upstreams are
    /// part of normal operation and are retried regardless of [`MAX_ATTEMPTS`] and the retry
    /// budget.
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

    fn retry(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: &RunningAttempt,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.turn += 1;
        pending.phase = Phase::Waiting;
        pending.avoid =
            Some(Avoid { instance: attempt.instance.clone(), rack: attempt.rack.clone() });
        self.request_slot(now, request, effects);
    }

    /// Gives a request its final answer and informs daemons that asked about it. If it held a
    /// claim, keeps the answer for resends, or releases the claim if the request did not run.
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
            self.claimed_outcomes.insert(request, claim, outcome.clone());
        }
        effects.push(Effect::Answer { request, outcome });
        self.tell_askers(now, pending.askers, effects);
    }

    /// Answers a request that did not run.
    pub(crate) fn refuse(
        &mut self,
        now: Time,
        request: RequestId,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        self.finish(now, request, not_run(reason), effects);
    }

    /// Answers a request whose deadline has passed. An attempt in progress keeps its slot until it
    /// ends.
    fn on_deadline(&mut self, now: Time, request: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&request) else { return };
        let outcome = match pending.phase {
            Phase::Claiming => Outcome::Unknown(Reason::Undecided),
            Phase::Asking { .. } | Phase::Running(_) => Outcome::Unknown(Reason::Late),
            Phase::Waiting if self.is_bound(now) => not_run(Reason::Stopping),
            Phase::Waiting => not_run(Reason::NoSlot),
        };
        self.finish(now, request, outcome, effects);
    }

    /// Whether all requests are to be answered by now, because the daemon is shutting down.
    fn is_bound(&self, now: Time) -> bool {
        self.bound.is_some_and(|bound| now >= bound)
    }

    /// Sets whether this daemon has a view. Without one it may not send requests, so those that
    /// wait for a slot are refused.
    fn set_view(&mut self, now: Time, view: bool, effects: &mut Vec<Effect>) {
        self.view = view;
        for dispatcher in 0..self.dispatchers.len() {
            if view {
                self.process_queue(now, dispatcher, effects);
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

    /// Adds or updates an upstream. If its service has changed, the dispatcher of the former
    /// service grants no further slots of it.
    fn on_serving(&mut self, now: Time, announcement: Announcement, effects: &mut Vec<Effect>) {
        let index = self.dispatcher(now, &announcement.service);
        self.set_not_serving_except(&announcement.instance, index);
        let slots = self.own_slots(&announcement);
        self.dispatchers[index].pool.set_upstream(announcement, slots);
        self.process_queue(now, index, effects);
    }

    fn on_not_serving(&mut self, instance: &Name) {
        self.set_not_serving_except(instance, usize::MAX);
    }

    /// Stops granting slots of an instance in all dispatchers other than the one at index `keep`.
    fn set_not_serving_except(&mut self, instance: &Name, keep: usize) {
        for (index, dispatcher) in self.dispatchers.iter_mut().enumerate() {
            if index != keep {
                dispatcher.pool.set_not_serving(instance);
            }
        }
    }

    /// Index of the dispatcher of `service`, which is created if needed.
    pub(crate) fn dispatcher(&mut self, now: Time, service: &Name) -> usize {
        if let Some(dispatcher) = self.services.get(service) {
            return *dispatcher;
        }
        let index = self.dispatchers.len();
        let seed = self.boot ^ index as u64;
        let pool = Pool::new(self.policy, self.config.clone(), seed);
        self.dispatchers.push(Dispatcher::new(service.clone(), pool));
        self.services.insert(service.clone(), index);
        self.update_broker(now, index);
        index
    }
}

fn not_run(reason: Reason) -> Outcome {
    Outcome::NotRun { reason, retry_after: RETRY_AFTER }
}
