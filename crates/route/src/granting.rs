//! Slots: asked for, granted, given back, and found again after the broker of a service is another.

use super::*;

/// Between two sends of what was not answered.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// Time within which a granted attempt must connect.
const START_LEASE: Duration = Duration::from_secs(1);

/// Longest time for which a daemon may act without having applied the latest roster.
const MAX_VIEW: Duration = Duration::from_millis(2200);

/// Added to the time at which a pool is looked at, so that what is due then has passed.
const WAKE_STEP: Duration = Duration::from_micros(100);

impl State {
    /// Asks for a slot for a request that waits.
    pub(crate) fn seek(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.sought = now;
        let (index, want) = (pending.dispatcher, pending.want(now));
        let dispatcher = &mut self.dispatchers[index];
        dispatcher.waiting.insert(id);
        if dispatcher.mine {
            self.offer(now, index, Owners::SELF, want, effects);
            return self.pump(now, index, effects);
        }
        dispatcher.pool.line_up(now, want.clone());
        if let Some(broker) = dispatcher.broker.clone() {
            self.outbox.push(broker, index, Note::Want(want));
        }
        self.resend_later(effects);
    }

    /// No longer asks for a slot.
    pub(crate) fn withdraw(&mut self, pending: &Pending) {
        let dispatcher = &mut self.dispatchers[pending.dispatcher];
        dispatcher.waiting.remove(&pending.request.id);
        dispatcher.pool.withdraw(Owners::SELF, pending.ticket());
        if dispatcher.mine {
            return;
        }
        if let Some(broker) = dispatcher.broker.clone() {
            self.outbox.push(broker, pending.dispatcher, Note::Withdraw(pending.ticket()));
        }
    }

    /// Passes a slot on to a request that waits here, and spares the way through the broker.
    pub(crate) fn pass(
        &mut self,
        now: Time,
        flight: &Flight,
        report: Report,
        took: Duration,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(to) = self.successor(now, flight, report) else { return false };
        let Some(pending) = self.pending.get(&to.request) else { return false };
        let kind = pending.request.kind.clone();
        let dispatcher = &mut self.dispatchers[flight.dispatcher];
        let Some(broker) = dispatcher.broker.clone() else { return false };
        dispatcher.pool.learn(&flight.kind, report, took);
        let note = Note::Pass { from: flight.ticket, to, kind, took };
        self.outbox.push(broker, flight.dispatcher, note);
        let (instance, tenure) = (flight.instance.clone(), flight.tenure);
        self.start(now, flight.dispatcher, to, instance, Some(tenure), effects);
        true
    }

    /// Request to which the slot of `flight` is passed on.
    fn successor(&mut self, now: Time, flight: &Flight, report: Report) -> Option<Ticket> {
        let dispatcher = &mut self.dispatchers[flight.dispatcher];
        let serving =
            dispatcher.pool.find(&flight.instance).is_some_and(|upstream| upstream.serving);
        if report != Report::Answered || dispatcher.mine || !self.view || !serving {
            return None;
        }
        let ticket = dispatcher.pool.successor(now, &flight.kind)?;
        let pending = self.pending.get(&ticket.request)?;
        (pending.deadline <= flight.tenure).then_some(ticket)
    }

    /// Hands a slot back to whoever grants it.
    pub(crate) fn give_back(
        &mut self,
        now: Time,
        index: usize,
        ticket: Ticket,
        report: Report,
        took: Duration,
    ) {
        let dispatcher = &mut self.dispatchers[index];
        if dispatcher.mine {
            return dispatcher.pool.release(now, Owners::SELF, ticket, report, took);
        }
        if let Some(pending) = self.pending.get(&ticket.request) {
            dispatcher.pool.learn(&pending.request.kind, report, took);
        }
        if let Some(broker) = dispatcher.broker.clone() {
            self.outbox.push(broker, index, Note::Free { ticket, report, took });
        }
    }

    /// Grants what can be granted, and refuses what waits in vain.
    pub(crate) fn pump(&mut self, now: Time, index: usize, effects: &mut Vec<Effect>) {
        if !self.dispatchers[index].mine {
            return;
        }
        self.dispatchers[index].pool.wake(now);
        while let Some(waiting) = self.dispatchers[index].pool.hopeless(now) {
            self.turn_away(now, index, &waiting, Reason::NoSlot, effects);
        }
        while self.view
            && let Some((waiting, upstream)) = self.dispatchers[index].pool.grant(now)
        {
            let instance =
                self.dispatchers[index].pool.upstream(upstream).announcement.instance.clone();
            self.hand_out(now, index, waiting.owner, waiting.ticket, instance, effects);
        }
        self.wake_later(now, index, effects);
    }

    /// Takes notes of another daemon.
    pub(crate) fn unpack(
        &mut self,
        now: Time,
        from: Name,
        parcel: Parcel,
        effects: &mut Vec<Effect>,
    ) {
        let Parcel { service, term, boot, notes } = parcel;
        if !self.config.services.contains_key(&service) {
            return;
        }
        let index = self.dispatcher(now, &service);
        for note in notes {
            match note {
                Note::Recall => self.recalled(now, index, &from, term),
                Note::Grant { ticket, instance } => {
                    if self.heeds(index, &from, term) {
                        self.start(now, index, ticket, instance, None, effects);
                    }
                }
                Note::Refuse { ticket, reason, retry_after } => {
                    if self.heeds(index, &from, term) {
                        self.turned_away(
                            now,
                            ticket,
                            Outcome::NotRun { reason, retry_after },
                            effects,
                        );
                    }
                }
                note => {
                    if self.serves(index, &from, boot, term) {
                        let owner = self.owners.number(from.clone(), boot);
                        self.serve_note(now, index, owner, note, effects);
                    }
                }
            }
        }
        self.pump(now, index, effects);
    }

    /// Acts on another roster.
    pub(crate) fn enrol(&mut self, now: Time, roster: Arc<Roster>, effects: &mut Vec<Effect>) {
        let mut former = std::mem::take(&mut self.departed);
        for daemon in roster.departed() {
            self.departed.insert(daemon.clone(), former.remove(daemon).unwrap_or(now));
        }
        self.roster = roster;
        for index in 0..self.dispatchers.len() {
            let former = self.dispatchers[index].term;
            self.assign(now, index);
            self.share_out(index);
            if self.dispatchers[index].term != former || self.policy != Policy::Broker {
                self.seek_again(now, index, effects);
            }
        }
    }

    /// Sets who grants the slots of a dispatcher.
    pub(crate) fn assign(&mut self, now: Time, index: usize) {
        let enrolled = self.roster.contains(&self.id, self.boot);
        let dispatcher = &mut self.dispatchers[index];
        dispatcher.pool.set_owners(self.roster.daemons().len() as u32);
        if self.policy != Policy::Broker {
            dispatcher.mine = true;
            return;
        }
        let Some(shard) = self.roster.broker(&dispatcher.service).filter(|_| enrolled) else {
            dispatcher.broker = None;
            dispatcher.mine = false;
            return;
        };
        if dispatcher.term == shard.term && dispatcher.broker.is_some() {
            return;
        }
        dispatcher.take_term(shard, &self.id, self.boot);
        self.end_tenures(index);
        if self.dispatchers[index].mine {
            self.rebuild(now, index);
        }
    }

    /// Keeps slots of a former term from being passed on.
    fn end_tenures(&mut self, index: usize) {
        for flight in self.flights.values_mut().filter(|flight| flight.dispatcher == index) {
            flight.tenure = Time::ZERO;
        }
    }

    /// Starts to find out which slots former brokers have granted.
    fn rebuild(&mut self, now: Time, index: usize) {
        let window = self.window();
        let holds = self.holds(now, index);
        let recent = self.departed.iter().filter(|(_, at)| now < **at + window);
        let mut missing: BTreeSet<_> = recent.map(|(daemon, _)| daemon.clone()).collect();
        missing.extend(self.roster.daemons().keys().cloned());
        if self.knows_all(&self.id, now - self.born.unwrap_or(now)) {
            missing.remove(&self.id);
        }
        let dispatcher = &mut self.dispatchers[index];
        dispatcher.missing = missing;
        dispatcher.known = dispatcher.pool.upstreams().count();
        dispatcher.rebuilt = now + window;
        for held in holds {
            dispatcher.pool.restore(Owners::SELF, &held, now + held.left + LEASE_MARGIN);
        }
        dispatcher.pool.reserve(dispatcher.missing.len() as u32, dispatcher.known);
    }

    /// Time after which nothing is in use that was granted before a roster was committed.
    fn window(&self) -> Duration {
        let longest = self.config.kinds.values().map(|kind| kind.deadline).max();
        MAX_VIEW + longest.unwrap_or_default() + TENURE + LEASE_MARGIN
    }

    /// Whether a daemon that started `age` ago knows of every slot that may be held in its name.
    fn knows_all(&self, daemon: &Name, age: Duration) -> bool {
        !self.roster.has_restarted(daemon) || age >= self.window()
    }

    fn holds(&self, now: Time, index: usize) -> Vec<Held> {
        let own = self.flights.values().filter(|flight| flight.dispatcher == index);
        let mut held: Vec<_> = own
            .map(|flight| Held {
                ticket: flight.ticket,
                instance: flight.instance.clone(),
                kind: flight.kind.clone(),
                left: flight.deadline.saturating_sub(now),
            })
            .collect();
        held.sort_by_key(|held| held.ticket);
        held
    }

    fn seek_again(&mut self, now: Time, index: usize, effects: &mut Vec<Effect>) {
        self.recall(index);
        for request in self.dispatchers[index].waiting.clone() {
            self.seek(now, request, effects);
        }
        self.resend_later(effects);
        self.pump(now, index, effects);
    }

    /// Slots of an upstream that this daemon may use without asking another.
    pub(crate) fn own_slots(&self, announcement: &Announcement) -> u32 {
        let daemons = self.roster.daemons();
        let position = daemons.keys().position(|daemon| *daemon == self.id);
        let (Policy::EvenSplit, Some(position)) = (self.policy, position) else {
            return announcement.slots;
        };
        let (count, slots) = (daemons.len() as u64, u64::from(announcement.slots));
        let turn = XxHash64::oneshot(0, announcement.instance.as_bytes());
        let place = (position as u64 + turn) % count;
        (slots / count + u64::from(place < slots % count)) as u32
    }

    fn share_out(&mut self, index: usize) {
        if self.policy != Policy::EvenSplit {
            return;
        }
        let serving = self.dispatchers[index].pool.upstreams().filter(|upstream| upstream.serving);
        let serving: Vec<_> = serving.map(|upstream| upstream.announcement.clone()).collect();
        for announcement in serving {
            let slots = self.own_slots(&announcement);
            self.dispatchers[index].pool.serve(announcement, slots);
        }
    }

    fn heeds(&self, index: usize, from: &Name, term: u64) -> bool {
        let dispatcher = &self.dispatchers[index];
        term == dispatcher.term
            && term >= dispatcher.fence
            && dispatcher.broker.as_ref() == Some(from)
    }

    fn serves(&self, index: usize, from: &Name, boot: u64, term: u64) -> bool {
        let dispatcher = &self.dispatchers[index];
        dispatcher.mine && term == dispatcher.term && self.roster.contains(from, boot)
    }

    fn serve_note(
        &mut self,
        now: Time,
        index: usize,
        owner: Owner,
        note: Note,
        effects: &mut Vec<Effect>,
    ) {
        match note {
            Note::Want(want) => match self.dispatchers[index].pool.holding(owner, want.ticket) {
                Some(upstream) => {
                    let instance = upstream.announcement.instance.clone();
                    self.hand_out(now, index, owner, want.ticket, instance, effects);
                }
                None => self.offer(now, index, owner, want, effects),
            },
            Note::Withdraw(ticket) => {
                let pool = &mut self.dispatchers[index].pool;
                pool.withdraw(owner, ticket);
                pool.release(now, owner, ticket, Report::Unused, Duration::ZERO);
            }
            Note::Free { ticket, report, took } => {
                self.dispatchers[index].pool.release(now, owner, ticket, report, took);
            }
            Note::Pass { from, to, kind, took } => {
                self.dispatchers[index].pool.pass(now, owner, from, to, kind, took);
            }
            Note::Holds { age, held } => self.restore(now, index, owner, age, &held),
            Note::Grant { .. } | Note::Refuse { .. } | Note::Recall => {}
        }
    }

    fn restore(&mut self, now: Time, index: usize, owner: Owner, age: Duration, held: &[Held]) {
        let name = self.owners.name(owner).clone();
        let knows_all = self.knows_all(&name, age);
        let dispatcher = &mut self.dispatchers[index];
        if !dispatcher.missing.contains(&name) {
            return;
        }
        for held in held {
            dispatcher.pool.restore(owner, held, now + held.left + LEASE_MARGIN);
        }
        if knows_all {
            dispatcher.missing.remove(&name);
        }
        dispatcher.pool.reserve(dispatcher.missing.len() as u32, dispatcher.known);
    }

    /// Tells a new broker what this daemon holds.
    fn recalled(&mut self, now: Time, index: usize, broker: &Name, term: u64) {
        if term < self.dispatchers[index].fence {
            return;
        }
        self.dispatchers[index].fence = term;
        self.end_tenures(index);
        let held = self.holds(now, index);
        let age = now - self.born.unwrap_or(now);
        self.outbox.push(broker.clone(), index, Note::Holds { age, held });
    }

    fn offer(
        &mut self,
        now: Time,
        index: usize,
        owner: Owner,
        want: Want,
        effects: &mut Vec<Effect>,
    ) {
        let (ticket, tenant, kind) = (want.ticket, want.tenant.clone(), want.kind.clone());
        if let Err(refusal) = self.dispatchers[index].pool.offer(now, owner, want) {
            return self.send_away(now, index, owner, ticket, refusal, effects);
        }
        for waiting in self.dispatchers[index].pool.displaced(now, &tenant, &kind) {
            self.turn_away(now, index, &waiting, Reason::Overloaded, effects);
        }
    }

    fn turn_away(
        &mut self,
        now: Time,
        index: usize,
        waiting: &Waiting,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        let retry_after = self.dispatchers[index].pool.backlog(&waiting.tenant);
        let refusal = Refusal { reason, retry_after };
        self.send_away(now, index, waiting.owner, waiting.ticket, refusal, effects);
    }

    fn send_away(
        &mut self,
        now: Time,
        index: usize,
        owner: Owner,
        ticket: Ticket,
        refusal: Refusal,
        effects: &mut Vec<Effect>,
    ) {
        let Refusal { reason, retry_after } = refusal;
        if owner == Owners::SELF {
            let outcome = Outcome::NotRun { reason, retry_after };
            return self.turned_away(now, ticket, outcome, effects);
        }
        let note = Note::Refuse { ticket, reason, retry_after };
        self.outbox.push(self.owners.name(owner).clone(), index, note);
    }

    fn turned_away(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let pending = self.pending.get(&ticket.request);
        if pending.is_some_and(|it| it.phase == Phase::Waiting && it.turn == ticket.turn) {
            self.finish(now, ticket.request, outcome, effects);
        }
    }

    fn hand_out(
        &mut self,
        now: Time,
        index: usize,
        owner: Owner,
        ticket: Ticket,
        instance: Name,
        effects: &mut Vec<Effect>,
    ) {
        if owner == Owners::SELF {
            return self.start(now, index, ticket, instance, None, effects);
        }
        let note = Note::Grant { ticket, instance };
        self.outbox.push(self.owners.name(owner).clone(), index, note);
    }

    /// Starts an attempt on a granted slot, or hands the slot back.
    fn start(
        &mut self,
        now: Time,
        index: usize,
        ticket: Ticket,
        instance: Name,
        tenure: Option<Time>,
        effects: &mut Vec<Effect>,
    ) {
        let pending = self.pending.get_mut(&ticket.request);
        let pending = pending.filter(|it| it.phase == Phase::Waiting && it.turn == ticket.turn);
        let upstream = self.dispatchers[index].pool.find(&instance).filter(|it| it.serving);
        let (Some(pending), Some(upstream), true) = (pending, upstream, self.view) else {
            return self.unused(now, index, ticket);
        };
        self.next_attempt += 1;
        let attempt = Attempt {
            id: self.next_attempt,
            request: ticket.request,
            instance: instance.clone(),
            address: upstream.announcement.address.clone(),
            deadline: pending.deadline,
            lease: pending.deadline.min(now + START_LEASE),
        };
        let flight = Flight {
            dispatcher: index,
            ticket,
            instance,
            rack: upstream.announcement.location.rack.clone(),
            kind: pending.request.kind.clone(),
            started: now,
            deadline: pending.deadline,
            tenure: tenure.unwrap_or(pending.deadline + TENURE),
        };
        pending.phase = Phase::Running(attempt.id);
        self.dispatchers[index].waiting.remove(&ticket.request);
        self.dispatchers[index].pool.withdraw(Owners::SELF, ticket);
        self.flights.insert(attempt.id, flight);
        effects.push(Effect::Attempt(attempt));
    }

    /// Hands the slot of a request back that waits on. A slot of any other request stays: what the
    /// ticket stands for at the broker may be a slot that was passed on since.
    fn unused(&mut self, now: Time, index: usize, ticket: Ticket) {
        let pending = self.pending.get_mut(&ticket.request);
        let waits = pending.filter(|it| it.phase == Phase::Waiting && it.turn == ticket.turn);
        let Some(pending) = waits else { return };
        pending.turn += 1;
        pending.sought = now;
        self.dispatchers[index].pool.withdraw(Owners::SELF, ticket);
        self.give_back(now, index, ticket, Report::Unused, Duration::ZERO);
    }

    fn recall(&mut self, index: usize) {
        let dispatcher = &self.dispatchers[index];
        if !dispatcher.mine {
            return;
        }
        for daemon in dispatcher.missing.iter().filter(|daemon| **daemon != self.id) {
            self.outbox.push(daemon.clone(), index, Note::Recall);
        }
    }

    /// Sends again what got no answer.
    pub(crate) fn resend(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.resending = false;
        for index in 0..self.dispatchers.len() {
            let dispatcher = &mut self.dispatchers[index];
            if dispatcher.mine && !dispatcher.missing.is_empty() {
                if now >= dispatcher.rebuilt {
                    dispatcher.missing.clear();
                    dispatcher.pool.reserve(0, dispatcher.known);
                    self.pump(now, index, effects);
                }
                self.recall(index);
            } else if !dispatcher.mine {
                self.seek_old(now, index, effects);
            }
        }
        let busy = |dispatcher: &Dispatcher| {
            !dispatcher.missing.is_empty() || !dispatcher.mine && !dispatcher.waiting.is_empty()
        };
        if self.dispatchers.iter().any(busy) {
            self.resend_later(effects);
        }
    }

    fn seek_old(&mut self, now: Time, index: usize, effects: &mut Vec<Effect>) {
        let waiting: Vec<_> = self.dispatchers[index].waiting.iter().copied().collect();
        for request in waiting {
            let pending = self.pending.get(&request);
            if pending.is_some_and(|it| it.sought + RESEND_INTERVAL <= now) {
                self.seek(now, request, effects);
            }
        }
    }

    fn resend_later(&mut self, effects: &mut Vec<Effect>) {
        if !self.resending {
            self.resending = true;
            effects.push(Effect::Subscribe { timer: Timer::Resend, after: RESEND_INTERVAL });
        }
    }

    fn wake_later(&mut self, now: Time, index: usize, effects: &mut Vec<Effect>) {
        let dispatcher = &mut self.dispatchers[index];
        let Some(at) = dispatcher.pool.next_wake() else { return };
        if dispatcher.wakes.is_none_or(|wakes| at < wakes) {
            dispatcher.wakes = Some(at);
            let after = at.saturating_sub(now) + WAKE_STEP;
            effects.push(Effect::Subscribe { timer: Timer::Pool(index), after });
        }
    }
}
