use super::*;

/// The loop that reduces events and hands out effects.
pub(crate) struct Engine {
    pub(crate) state: node::State,
    pub(crate) clock: Clock,
    pub(crate) inbox: Receiver<Event>,
    pub(crate) transport: Arc<wire::Transport>,
    pub(crate) disk: Disk,
    pub(crate) callers: Callers,
    pub(crate) operators: Tickets<node::operator::Reply>,
    pub(crate) upstreams: Tickets<node::upstream::Reply>,
}

/// Longest wait for an event.
const MAX_WAIT: Duration = Duration::from_secs(1);

impl Engine {
    /// Runs until the daemon has stopped.
    pub(crate) fn run(mut self) {
        let mut timers = timer::Queue::default();
        let mut stopped = self.step(Event::Start, &mut timers);
        while !stopped {
            let now = self.clock.now();
            let wait =
                timers.next_due().map_or(MAX_WAIT, |at| at.saturating_sub(now)).min(MAX_WAIT);
            stopped = match self.inbox.recv_timeout(wait) {
                Ok(event) => self.step(event, &mut timers),
                Err(RecvTimeoutError::Timeout) => false,
                Err(RecvTimeoutError::Disconnected) => true,
            };
            while let Some(timer) = timers.pop(self.clock.now()) {
                stopped |= self.step(Event::Timer(timer), &mut timers);
            }
        }
        self.callers.finish();
    }

    /// Reduces one event; whether the daemon has stopped.
    fn step(&mut self, event: Event, timers: &mut timer::Queue<node::Timer>) -> bool {
        let now = self.clock.now();
        let mut stopped = false;
        let effects = self.state.reduce(now, event);
        self.callers.set_view_until(self.state.view_until());
        for effect in effects {
            match effect {
                Effect::Persist(record) => self.disk.persist(record),
                Effect::Send { to, message } => self.send(to, &message),
                Effect::Subscribe { timer, after } => timers.subscribe(timer, now + after),
                Effect::Operator { ticket, reply } => self.operators.resolve(ticket, reply),
                Effect::Upstream { ticket, reply } => self.upstreams.resolve(ticket, reply),
                Effect::Attempt(attempt) => self.callers.attempt(attempt),
                Effect::Answer { request, outcome } => self.callers.answer(request, outcome),
                Effect::Keep { request, attempt } => self.callers.keep(request, attempt),
                Effect::Share { to, question } => {
                    let fate = self.callers.fate(question.first);
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
