//! Requesting, granting and releasing slots, and recovery of the granted slots by a new broker.

use super::*;

/// Interval at which unanswered slot requests and recalls are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// Time from the grant within which an attempt must connect to its upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which a daemon may act without having applied the latest roster: the length of
/// its view lease with a margin.
const MAX_VIEW_LEASE: Duration = Duration::from_millis(2200);

/// Added to the delay of [`Timer::Pool`]: a queued request is overdue only after its latest start
/// time, so a timer that fired exactly at that time would find nothing to do.
const WAKE_DELAY: Duration = Duration::from_micros(100);

impl State {
    /// Requests a slot for a pending request: by adding it to the broker's queue if this daemon is
    /// the broker, otherwise by a note to the broker.
    pub(crate) fn request_slot(&mut self, now: Time, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.requested_at = now;
        let (index, want) = (pending.dispatcher, pending.want(now));
        let dispatcher = &mut self.dispatchers[index];
        dispatcher.waiting.insert(id);
        if dispatcher.is_broker {
            self.enqueue_or_refuse(now, index, OwnerTable::SELF, want, effects);
            return self.process_queue(now, index, effects);
        }
        dispatcher.pool.enqueue_local(now, want.clone());
        if let Some(broker) = dispatcher.broker.clone() {
            self.outbox.push(broker, index, Note::Want(want));
        }
        self.schedule_resend(effects);
    }

    /// Withdraws the slot request of `pending`.
    pub(crate) fn withdraw(&mut self, pending: &Pending) {
        let dispatcher = &mut self.dispatchers[pending.dispatcher];
        dispatcher.waiting.remove(&pending.request.id);
        dispatcher.pool.withdraw(OwnerTable::SELF, pending.ticket());
        if dispatcher.is_broker {
            return;
        }
        if let Some(broker) = dispatcher.broker.clone() {
            self.outbox.push(broker, pending.dispatcher, Note::Withdraw(pending.ticket()));
        }
    }

    /// Passes the slot of an ended attempt on to another request that waits at this daemon, which
    /// saves a round trip to the broker. Returns whether the slot was passed on.
    pub(crate) fn pass_on_slot(
        &mut self,
        now: Time,
        attempt: &RunningAttempt,
        report: Report,
        took: Duration,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(to) = self.next_local(now, attempt, report) else { return false };
        let Some(pending) = self.pending.get(&to.request) else { return false };
        let kind = pending.request.kind.clone();
        let dispatcher = &mut self.dispatchers[attempt.dispatcher];
        let Some(broker) = dispatcher.broker.clone() else { return false };
        dispatcher.pool.record_run_time(&attempt.kind, report, took);
        let note = Note::Pass { from: attempt.ticket, to, kind, took };
        self.outbox.push(broker, attempt.dispatcher, note);
        let (instance, reusable_until) = (attempt.instance.clone(), attempt.reusable_until);
        self.start_attempt(now, attempt.dispatcher, to, instance, Some(reusable_until), effects);
        true
    }

    /// Waiting request to which the slot of `attempt` can be passed on.
    fn next_local(
        &mut self,
        now: Time,
        attempt: &RunningAttempt,
        report: Report,
    ) -> Option<Ticket> {
        let dispatcher = &mut self.dispatchers[attempt.dispatcher];
        let serving =
            dispatcher.pool.find(&attempt.instance).is_some_and(|upstream| upstream.serving);
        if report != Report::Answered || dispatcher.is_broker || !self.view || !serving {
            return None;
        }
        let ticket = dispatcher.pool.next_local(now, &attempt.kind)?;
        let pending = self.pending.get(&ticket.request)?;
        (pending.deadline <= attempt.reusable_until).then_some(ticket)
    }

    /// Returns a slot to the broker.
    pub(crate) fn release_slot(
        &mut self,
        now: Time,
        index: usize,
        ticket: Ticket,
        report: Report,
        took: Duration,
    ) {
        let dispatcher = &mut self.dispatchers[index];
        if dispatcher.is_broker {
            return dispatcher.pool.release(now, OwnerTable::SELF, ticket, report, took);
        }
        if let Some(pending) = self.pending.get(&ticket.request) {
            dispatcher.pool.record_run_time(&pending.request.kind, report, took);
        }
        if let Some(broker) = dispatcher.broker.clone() {
            self.outbox.push(broker, index, Note::Free { ticket, report, took });
        }
    }

    /// As the broker, refuses requests that can no longer start in time and grants free slots to
    /// the others.
    pub(crate) fn process_queue(&mut self, now: Time, index: usize, effects: &mut Vec<Effect>) {
        if !self.dispatchers[index].is_broker {
            return;
        }
        self.dispatchers[index].pool.process_due(now);
        while let Some(request) = self.dispatchers[index].pool.pop_overdue(now) {
            self.refuse_queued(now, index, &request, Reason::NoSlot, effects);
        }
        while self.view
            && let Some((request, upstream)) = self.dispatchers[index].pool.grant(now)
        {
            let instance =
                self.dispatchers[index].pool.upstream(upstream).announcement.instance.clone();
            self.send_grant(now, index, request.owner, request.ticket, instance, effects);
        }
        self.schedule_wake(now, index, effects);
    }

    /// Handles notes of another daemon. Only notes of the current term are accepted: as the broker,
    /// those of the daemons in the roster; otherwise, those of the broker. A recall is accepted for
    /// any term not below the fence, since it may arrive before the roster that names its sender as
    /// the broker.
    pub(crate) fn on_parcel(
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
                Note::Recall => self.on_recall(now, index, &from, term),
                Note::Grant { ticket, instance } => {
                    if self.accepts_from_broker(index, &from, term) {
                        self.start_attempt(now, index, ticket, instance, None, effects);
                    }
                }
                Note::Refuse { ticket, reason, retry_after } => {
                    if self.accepts_from_broker(index, &from, term) {
                        self.on_refused(
                            now,
                            ticket,
                            Outcome::NotRun { reason, retry_after },
                            effects,
                        );
                    }
                }
                note => {
                    if self.accepts_as_broker(index, &from, boot, term) {
                        let owner = self.owners.id(from.clone(), boot);
                        self.on_note_to_broker(now, index, owner, note, effects);
                    }
                }
            }
        }
        self.process_queue(now, index, effects);
    }

    /// Adopts a new roster: updates the broker of each service, and sends pending slot requests to
    /// the brokers of new terms.
    pub(crate) fn set_roster(&mut self, now: Time, roster: Arc<Roster>, effects: &mut Vec<Effect>) {
        let mut former = std::mem::take(&mut self.departed);
        for daemon in roster.departed() {
            self.departed.insert(daemon.clone(), former.remove(daemon).unwrap_or(now));
        }
        self.roster = roster;
        for index in 0..self.dispatchers.len() {
            let former = self.dispatchers[index].term;
            self.update_broker(now, index);
            self.apply_even_split(index);
            if self.dispatchers[index].term != former || self.policy != Policy::Broker {
                self.resend_all(now, index, effects);
            }
        }
    }

    /// Sets the broker of a dispatcher from the roster. If the term has changed, starts the new
    /// term.
    pub(crate) fn update_broker(&mut self, now: Time, index: usize) {
        let in_roster = self.roster.contains(&self.id, self.boot);
        let dispatcher = &mut self.dispatchers[index];
        dispatcher.pool.set_daemons(self.roster.daemons().len() as u32);
        if self.policy != Policy::Broker {
            dispatcher.is_broker = true;
            return;
        }
        let Some(shard) = self.roster.broker(&dispatcher.service).filter(|_| in_roster) else {
            dispatcher.broker = None;
            dispatcher.is_broker = false;
            return;
        };
        if dispatcher.term == shard.term && dispatcher.broker.is_some() {
            return;
        }
        dispatcher.start_term(shard, &self.id, self.boot);
        self.forbid_reuse(index);
        if self.dispatchers[index].is_broker {
            self.start_recovery(now, index);
        }
    }

    /// Prevents slots granted in an earlier term from being passed on.
    fn forbid_reuse(&mut self, index: usize) {
        for attempt in self.running.values_mut().filter(|attempt| attempt.dispatcher == index) {
            attempt.reusable_until = Time::ZERO;
        }
    }

    /// Starts the recovery of slots that earlier brokers have granted. Until a daemon has reported
    /// the slots that it holds, its maximum share of each upstream's slots is reserved.
    fn start_recovery(&mut self, now: Time, index: usize) {
        let window = self.recovery_window();
        let own = self.held_slots(now, index);
        let recent = self.departed.iter().filter(|(_, at)| now < **at + window);
        let mut unreported: BTreeSet<_> = recent.map(|(daemon, _)| daemon.clone()).collect();
        unreported.extend(self.roster.daemons().keys().cloned());
        if self.knows_all_slots(&self.id, now - self.started_at.unwrap_or(now)) {
            unreported.remove(&self.id);
        }
        let dispatcher = &mut self.dispatchers[index];
        dispatcher.unreported = unreported;
        dispatcher.known_upstreams = dispatcher.pool.upstreams().count();
        dispatcher.recovery_end = now + window;
        for held in own {
            dispatcher.pool.restore(OwnerTable::SELF, &held, now + held.left + CLOCK_DRIFT_MARGIN);
        }
        dispatcher.pool.reserve(dispatcher.unreported.len() as u32, dispatcher.known_upstreams);
    }

    /// Time after the commit of a roster within which slots granted before it may still be in use.
    fn recovery_window(&self) -> Duration {
        let longest = self.config.kinds.values().map(|kind| kind.deadline).max();
        MAX_VIEW_LEASE + longest.unwrap_or_default() + REUSE_WINDOW + CLOCK_DRIFT_MARGIN
    }

    /// Whether a daemon that started `age` ago knows all slots that it may hold. A restarted daemon
    /// does not know the slots that its earlier incarnation held; after the recovery window these
    /// can no longer be in use.
    fn knows_all_slots(&self, daemon: &Name, age: Duration) -> bool {
        !self.roster.has_restarted(daemon) || age >= self.recovery_window()
    }

    /// Slots of a service that attempts of this daemon use.
    fn held_slots(&self, now: Time, index: usize) -> Vec<Held> {
        let own = self.running.values().filter(|attempt| attempt.dispatcher == index);
        let mut held: Vec<_> = own
            .map(|attempt| Held {
                ticket: attempt.ticket,
                instance: attempt.instance.clone(),
                kind: attempt.kind.clone(),
                left: attempt.deadline.saturating_sub(now),
            })
            .collect();
        held.sort_by_key(|held| held.ticket);
        held
    }

    /// Sends all recalls and slot requests of a service again.
    fn resend_all(&mut self, now: Time, index: usize, effects: &mut Vec<Effect>) {
        self.send_recalls(index);
        for request in self.dispatchers[index].waiting.clone() {
            self.request_slot(now, request, effects);
        }
        self.schedule_resend(effects);
        self.process_queue(now, index, effects);
    }

    /// Slots of an upstream that this daemon may grant. With [`Policy::EvenSplit`] this is an even
    /// share; the daemons that get one of the remaining slots differ between upstreams.
    pub(crate) fn own_slots(&self, announcement: &Announcement) -> u32 {
        let daemons = self.roster.daemons();
        let position = daemons.keys().position(|daemon| *daemon == self.id);
        let (Policy::EvenSplit, Some(position)) = (self.policy, position) else {
            return announcement.slots;
        };
        let (count, slots) = (daemons.len() as u64, u64::from(announcement.slots));
        let offset = XxHash64::oneshot(0, announcement.instance.as_bytes());
        let rank = (position as u64 + offset) % count;
        (slots / count + u64::from(rank < slots % count)) as u32
    }

    /// Recalculates this daemon's share of each upstream under [`Policy::EvenSplit`].
    fn apply_even_split(&mut self, index: usize) {
        if self.policy != Policy::EvenSplit {
            return;
        }
        let serving = self.dispatchers[index].pool.upstreams().filter(|upstream| upstream.serving);
        let serving: Vec<_> = serving.map(|upstream| upstream.announcement.clone()).collect();
        for announcement in serving {
            let slots = self.own_slots(&announcement);
            self.dispatchers[index].pool.set_upstream(announcement, slots);
        }
    }

    /// Whether a note from `from` comes from the broker of the current term. Notes of a term below
    /// the fence are rejected: a new broker has already asked which slots this daemon holds, and a
    /// slot accepted after that report would be missing in it.
    fn accepts_from_broker(&self, index: usize, from: &Name, term: u64) -> bool {
        let dispatcher = &self.dispatchers[index];
        term == dispatcher.term
            && term >= dispatcher.fence
            && dispatcher.broker.as_ref() == Some(from)
    }

    /// Whether this daemon, as the broker of `term`, accepts a note that `from` sent under the boot
    /// id `boot`.
    fn accepts_as_broker(&self, index: usize, from: &Name, boot: u64, term: u64) -> bool {
        let dispatcher = &self.dispatchers[index];
        dispatcher.is_broker && term == dispatcher.term && self.roster.contains(from, boot)
    }

    /// Handles a note that is addressed to the broker.
    fn on_note_to_broker(
        &mut self,
        now: Time,
        index: usize,
        owner: OwnerId,
        note: Note,
        effects: &mut Vec<Effect>,
    ) {
        match note {
            Note::Want(want) => {
                match self.dispatchers[index].pool.upstream_of(owner, want.ticket) {
                    Some(upstream) => {
                        let instance = upstream.announcement.instance.clone();
                        self.send_grant(now, index, owner, want.ticket, instance, effects);
                    }
                    None => self.enqueue_or_refuse(now, index, owner, want, effects),
                }
            }
            Note::Withdraw(ticket) => {
                let pool = &mut self.dispatchers[index].pool;
                pool.withdraw(owner, ticket);
                pool.release(now, owner, ticket, Report::Unused, Duration::ZERO);
            }
            Note::Free { ticket, report, took } => {
                self.dispatchers[index].pool.release(now, owner, ticket, report, took);
            }
            Note::Pass { from, to, kind, took } => {
                self.dispatchers[index].pool.transfer(now, owner, from, to, kind, took);
            }
            Note::Holds { age, held } => self.on_holds(now, index, owner, age, &held),
            Note::Grant { .. } | Note::Refuse { .. } | Note::Recall => {}
        }
    }

    /// Records the slots that a daemon reports to a new broker.
    fn on_holds(&mut self, now: Time, index: usize, owner: OwnerId, age: Duration, held: &[Held]) {
        let name = self.owners.daemon(owner).clone();
        let knows_all = self.knows_all_slots(&name, age);
        let dispatcher = &mut self.dispatchers[index];
        if !dispatcher.unreported.contains(&name) {
            return;
        }
        for held in held {
            dispatcher.pool.restore(owner, held, now + held.left + CLOCK_DRIFT_MARGIN);
        }
        if knows_all {
            dispatcher.unreported.remove(&name);
        }
        dispatcher.pool.reserve(dispatcher.unreported.len() as u32, dispatcher.known_upstreams);
    }

    /// Reports the slots that this daemon holds to a new broker. From then on, grants of earlier
    /// terms are ignored, and the reported slots are not passed on.
    fn on_recall(&mut self, now: Time, index: usize, broker: &Name, term: u64) {
        if term < self.dispatchers[index].fence {
            return;
        }
        self.dispatchers[index].fence = term;
        self.forbid_reuse(index);
        let held = self.held_slots(now, index);
        let age = now - self.started_at.unwrap_or(now);
        self.outbox.push(broker.clone(), index, Note::Holds { age, held });
    }

    /// Queues a slot request as the broker, or refuses it if it could not start in time. Also
    /// refuses queued requests of lower rank that can no longer start in time because of it.
    fn enqueue_or_refuse(
        &mut self,
        now: Time,
        index: usize,
        owner: OwnerId,
        want: Want,
        effects: &mut Vec<Effect>,
    ) {
        let (ticket, tenant, kind) = (want.ticket, want.tenant.clone(), want.kind.clone());
        if let Err(refusal) = self.dispatchers[index].pool.enqueue(now, owner, want) {
            return self.send_refusal(now, index, owner, ticket, refusal, effects);
        }
        for displaced in self.dispatchers[index].pool.remove_displaced(now, &tenant, &kind) {
            self.refuse_queued(now, index, &displaced, Reason::Overloaded, effects);
        }
    }

    /// Refuses a request that was removed from the queue.
    fn refuse_queued(
        &mut self,
        now: Time,
        index: usize,
        request: &QueuedRequest,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        let retry_after = self.dispatchers[index].pool.backlog_wait(&request.tenant);
        let refusal = Refusal { reason, retry_after };
        self.send_refusal(now, index, request.owner, request.ticket, refusal, effects);
    }

    /// Tells the owner of a slot request that it is refused.
    fn send_refusal(
        &mut self,
        now: Time,
        index: usize,
        owner: OwnerId,
        ticket: Ticket,
        refusal: Refusal,
        effects: &mut Vec<Effect>,
    ) {
        let Refusal { reason, retry_after } = refusal;
        if owner == OwnerTable::SELF {
            let outcome = Outcome::NotRun { reason, retry_after };
            return self.on_refused(now, ticket, outcome, effects);
        }
        let note = Note::Refuse { ticket, reason, retry_after };
        self.outbox.push(self.owners.daemon(owner).clone(), index, note);
    }

    /// Answers a request that the broker refused, unless it no longer waits for that slot.
    fn on_refused(
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

    /// Tells the owner of a slot request that it has a slot.
    fn send_grant(
        &mut self,
        now: Time,
        index: usize,
        owner: OwnerId,
        ticket: Ticket,
        instance: Name,
        effects: &mut Vec<Effect>,
    ) {
        if owner == OwnerTable::SELF {
            return self.start_attempt(now, index, ticket, instance, None, effects);
        }
        let note = Note::Grant { ticket, instance };
        self.outbox.push(self.owners.daemon(owner).clone(), index, note);
    }

    /// Starts an attempt with a granted slot, if the request still waits with this ticket. Returns
    /// the slot instead if the upstream no longer serves or this daemon has no view.
    /// `reusable_until` is given for a slot that was passed on by this daemon.
    fn start_attempt(
        &mut self,
        now: Time,
        index: usize,
        ticket: Ticket,
        instance: Name,
        reusable_until: Option<Time>,
        effects: &mut Vec<Effect>,
    ) {
        let pending = self.pending.get_mut(&ticket.request);
        let pending = pending.filter(|it| it.phase == Phase::Waiting && it.turn == ticket.turn);
        let upstream = self.dispatchers[index].pool.find(&instance).filter(|it| it.serving);
        let (Some(pending), Some(upstream), true) = (pending, upstream, self.view) else {
            return self.return_unused(now, index, ticket);
        };
        self.last_attempt += 1;
        let attempt = Attempt {
            id: self.last_attempt,
            request: ticket.request,
            instance: instance.clone(),
            address: upstream.announcement.address.clone(),
            deadline: pending.deadline,
            lease: pending.deadline.min(now + CONNECT_TIMEOUT),
        };
        let running = RunningAttempt {
            dispatcher: index,
            ticket,
            instance,
            rack: upstream.announcement.location.rack.clone(),
            kind: pending.request.kind.clone(),
            started: now,
            deadline: pending.deadline,
            reusable_until: reusable_until.unwrap_or(pending.deadline + REUSE_WINDOW),
        };
        pending.phase = Phase::Running(attempt.id);
        self.dispatchers[index].waiting.remove(&ticket.request);
        self.dispatchers[index].pool.withdraw(OwnerTable::SELF, ticket);
        self.running.insert(attempt.id, running);
        effects.push(Effect::Attempt(attempt));
    }

    /// Returns the unused slot of a request that keeps waiting. Does nothing if the request no
    /// longer waits with this ticket: the broker may by now have recorded a slot that was passed on
    /// under the ticket, and would free that slot although it is in use.
    fn return_unused(&mut self, now: Time, index: usize, ticket: Ticket) {
        let pending = self.pending.get_mut(&ticket.request);
        let waits = pending.filter(|it| it.phase == Phase::Waiting && it.turn == ticket.turn);
        let Some(pending) = waits else { return };
        pending.turn += 1;
        pending.requested_at = now;
        self.dispatchers[index].pool.withdraw(OwnerTable::SELF, ticket);
        self.release_slot(now, index, ticket, Report::Unused, Duration::ZERO);
    }

    /// As the broker, asks the daemons that have not reported yet which slots they hold.
    fn send_recalls(&mut self, index: usize) {
        let dispatcher = &self.dispatchers[index];
        if !dispatcher.is_broker {
            return;
        }
        for daemon in dispatcher.unreported.iter().filter(|daemon| **daemon != self.id) {
            self.outbox.push(daemon.clone(), index, Note::Recall);
        }
    }

    /// Sends unanswered recalls and slot requests again. Ends a recovery at its latest end, by
    /// dropping the reservations for daemons that have not reported.
    pub(crate) fn resend(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.resend_scheduled = false;
        for index in 0..self.dispatchers.len() {
            let dispatcher = &mut self.dispatchers[index];
            if dispatcher.is_broker && !dispatcher.unreported.is_empty() {
                if now >= dispatcher.recovery_end {
                    dispatcher.unreported.clear();
                    dispatcher.pool.reserve(0, dispatcher.known_upstreams);
                    self.process_queue(now, index, effects);
                }
                self.send_recalls(index);
            } else if !dispatcher.is_broker {
                self.resend_overdue(now, index, effects);
            }
        }
        let unanswered = |dispatcher: &Dispatcher| {
            !dispatcher.unreported.is_empty()
                || !dispatcher.is_broker && !dispatcher.waiting.is_empty()
        };
        if self.dispatchers.iter().any(unanswered) {
            self.schedule_resend(effects);
        }
    }

    /// Sends the slot requests again that are older than [`RESEND_INTERVAL`].
    fn resend_overdue(&mut self, now: Time, index: usize, effects: &mut Vec<Effect>) {
        let waiting: Vec<_> = self.dispatchers[index].waiting.iter().copied().collect();
        for request in waiting {
            let pending = self.pending.get(&request);
            if pending.is_some_and(|it| it.requested_at + RESEND_INTERVAL <= now) {
                self.request_slot(now, request, effects);
            }
        }
    }

    /// Sets [`Timer::Resend`] if it is not set.
    fn schedule_resend(&mut self, effects: &mut Vec<Effect>) {
        if !self.resend_scheduled {
            self.resend_scheduled = true;
            effects.push(Effect::Subscribe { timer: Timer::Resend, after: RESEND_INTERVAL });
        }
    }

    /// Sets [`Timer::Pool`] to the next time at which the pool has something due.
    fn schedule_wake(&mut self, now: Time, index: usize, effects: &mut Vec<Effect>) {
        let dispatcher = &mut self.dispatchers[index];
        let Some(at) = dispatcher.pool.next_due() else { return };
        if dispatcher.next_wake.is_none_or(|set| at < set) {
            dispatcher.next_wake = Some(at);
            let after = at.saturating_sub(now) + WAKE_DELAY;
            effects.push(Effect::Subscribe { timer: Timer::Pool(index), after });
        }
    }
}
