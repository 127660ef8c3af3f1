use super::*;

/// Main loop: feeds events to the state machine and carries out the effects.
pub(crate) struct Engine {
    pub(crate) state: node::State,
    pub(crate) recording: Option<Recording>,
    pub(crate) clock: Clock,
    pub(crate) inbox: Receiver<Event>,
    pub(crate) transport: Arc<wire::Transport>,
    pub(crate) disk: DiskWriter,
    pub(crate) callers: Callers,
    pub(crate) operators: PendingReplies<node::operator::Reply>,
    pub(crate) platform: Sender<node::platform::Call>,
    pub(crate) upstreams: PendingReplies<node::upstream::Reply>,
}

/// Maximum wait for an event if no timer is due earlier.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(1);

/// Interval between checks whether the last answers have been sent.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Minimum time for which requests are refused before the process exits, so that callers whose last
/// request was just answered see the refusal on the same connection.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Maximum wait for clients to read the last answers.
const MAX_FINISH_TIME: Duration = Duration::from_secs(30);

impl Engine {
    /// Runs until the daemon has stopped and every answer has been sent.
    pub(crate) fn run(mut self) {
        let mut timers = timer::Queue::default();
        let mut stopped = self.step(Event::Start, &mut timers).then(Instant::now);
        while !self.is_finished(stopped) {
            let now = self.clock.now();
            let drains = self.state.stop_plan().is_some_and(|plan| now >= plan.drains_at());
            let longest = if drains { FINISH_POLL_INTERVAL } else { MAX_EVENT_WAIT };
            let due = timers.next_due().map(|at| at.saturating_sub(now));
            let has_stopped = match self.inbox.recv_timeout(due.unwrap_or(longest).min(longest)) {
                Ok(event) => self.step(event, &mut timers),
                Err(RecvTimeoutError::Timeout) => false,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            stopped = stopped.or_else(|| has_stopped.then(Instant::now));
            while let Some(timer) = timers.pop(self.clock.now()) {
                let has_stopped = self.step(Event::Timer(timer), &mut timers);
                stopped = stopped.or_else(|| has_stopped.then(Instant::now));
            }
        }
    }

    /// Passes one event to the state machine, and records it if recording is enabled.
    fn reduce(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let Some(recording) = &mut self.recording else { return self.state.reduce(now, event) };
        let effects = self.state.reduce(now, event.clone());
        let step = Step { now, event, effects: Step::hash(&effects) };
        if let Err(error) = recording.push(&step).and_then(|()| recording.flush()) {
            log::error!("recording failed; no further events are recorded: {error}");
            self.recording = None;
        }
        effects
    }

    /// Whether the daemon may exit, if its last request ended at `stopped`: it has refused requests
    /// for the minimum time and has sent all answers, or has waited for the clients as long as
    /// allowed.
    fn is_finished(&self, stopped: Option<Instant>) -> bool {
        let Some(plan) = self.state.stop_plan() else { return false };
        let now = self.clock.now();
        let unanswered = self.callers.in_flight();
        let refused_for = stopped.map_or(Duration::ZERO, |since| since.elapsed());
        if refused_for > MAX_FINISH_TIME {
            log::error!("clients did not read their answers in time");
            return true;
        }
        let is_over = plan.phase(now) == stop::Phase::Over;
        if is_over && unanswered > 0 {
            let ids = self.callers.in_flight_ids()().join(" ");
            log::error!(count = unanswered, requests = ids; "stop took too long, requests are cut off");
        }
        let has_refused = refused_for > MIN_REFUSAL_TIME && self.inbox.is_empty();
        is_over || has_refused && plan.may_end(now, unanswered)
    }

    /// Handles one event and carries out its effects; returns whether the daemon has stopped.
    fn step(&mut self, event: Event, timers: &mut timer::Queue<node::Timer>) -> bool {
        let now = self.clock.now();
        let mut stopped = false;
        let effects = self.reduce(now, event);
        self.callers.set_view_lease_end(self.state.view_lease_end());
        for effect in effects {
            match effect {
                Effect::Persist(record) => self.disk.persist(record),
                Effect::Send { to, message } => self.send(to, &message),
                Effect::Subscribe { timer, after } => timers.schedule(timer, now + after),
                Effect::Operator { ticket, reply } => self.operators.resolve(ticket, reply),
                Effect::Upstream { ticket, reply } => self.upstreams.resolve(ticket, reply),
                Effect::Platform(call) => {
                    self.platform.send(call).ok();
                }
                Effect::Attempt(attempt) => self.callers.attempt(attempt),
                Effect::Answer { request, outcome } => self.callers.answer(request, outcome),
                Effect::Keep { request, attempt } => self.callers.cache_answer(request, attempt),
                Effect::Share { to, question } => {
                    let fate = self.callers.cached_answer(question.first);
                    let message = route::Message::Tell { question, fate };
                    self.send(to, &node::Message::Route(message));
                }
                Effect::Health(healthy) => self.callers.set_health(healthy),
                Effect::Leader(leader) => {
                    log::info!(leader = leader.as_deref().unwrap_or("none"); "leader changed");
                }
                Effect::Stopped => stopped = true,
            }
        }
        stopped
    }

    fn send(&self, to: Name, message: &node::Message) {
        let body = match wire::Codec::encode(message) {
            Ok(body) => body,
            Err(error) => return log::error!(peer = &*to; "message not sent: {error}"),
        };
        match message {
            node::Message::Quorum(_) => self.disk.send(to, body),
            _ => self.transport.send(&to, body),
        }
    }
}
