use super::*;

/// What a daemon is known by.
#[derive(Debug)]
pub(crate) struct Identity {
    /// Address for other daemons.
    pub(crate) id: Name,
    /// Random number of this process.
    pub(crate) boot: u64,
    pub(crate) data_center: Name,
}

/// State machine of the daemon.
pub(crate) struct State {
    pub(crate) id: Name,
    /// Random number of this process.
    pub(crate) boot: u64,
    pub(crate) data_center: Name,
    pub(crate) seeds: Vec<Name>,
    /// Whether this is the first start of the fleet, so that all daemons have empty disks, and this
    /// one has not heard of a log yet.
    pub(crate) is_new_fleet: bool,
    pub(crate) bootstrap: Bootstrap,
    pub(crate) disk: Option<quorum::DiskId>,
    /// Consensus state; `None` for a daemon without a disk.
    pub(crate) quorum: Option<quorum::State>,
    pub(crate) membership: Membership,
    /// Whether the fleet has enough voters to accept commands; see [`Membership::is_settled`].
    pub(crate) settled: bool,
    pub(crate) table: Table,
    pub(crate) scheduler: Scheduler,
    /// Term for which the scheduler was told that it leads.
    pub(crate) leader_term: Option<quorum::Term>,
    /// Index of the log entry with the scheduler's batch.
    pub(crate) batch: Option<Index>,
    pub(crate) pending_calls: PendingCalls,
    pub(crate) query_router: QueryRouter,
    pub(crate) pending_counts: PendingCounts,
    pub(crate) carriers: Carriers,
    pub(crate) overload: Overload,
    pub(crate) surplus: Surplus,
    pub(crate) budget: Budget,
    /// Reads the text of a configuration.
    pub(crate) read_config: fn(&str) -> Result<job::Config, String>,
    /// The configuration that this leader proposed last and the index of its entry, until that is
    /// applied.
    pub(crate) proposed_config: Option<(Index, job::Config)>,
    pub(crate) organisation_labels: OrganisationLabels,
    /// Where to send the answer once a log entry is committed.
    pub(crate) commits: BTreeMap<Index, Vec<ReplyTo>>,
    /// Whether the load balancer was told to send callers here.
    pub(crate) ready: bool,
    /// Plan of the stop, once the process was asked to stop.
    pub(crate) stop: Option<stop::Plan>,
    stop_limits: stop::Limits,
    /// Since when this leader has had no lease; `None` while it has one.
    lease_lapsed: Option<Time>,
    last_ping: Time,
    last_introduction: Time,
}

/// Interval at which requests, leases and calls are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which peers and membership are checked.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which daemons that do not lead ask for the leader. In a large fleet, daemons that
/// have a leader ask less often.
const PING_INTERVAL: Duration = Duration::from_millis(300);
const PING_INTERVAL_IN_LARGE_FLEET: Duration = Duration::from_millis(500);
/// Interval at which members of the quorum introduce themselves to the seeds.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(400);
/// Delay before opening the data folder is tried again.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(500);

impl State {
    pub(crate) fn new(
        Identity { id, boot, data_center }: Identity,
        seeds: Vec<Name>,
        is_new_fleet: bool,
        scheduler: Scheduler,
        stop_limits: stop::Limits,
    ) -> Self {
        let pending_calls = PendingCalls::new(&seeds);
        Self {
            id,
            boot,
            data_center,
            seeds,
            is_new_fleet,
            bootstrap: Bootstrap::default(),
            disk: None,
            quorum: None,
            membership: Membership::default(),
            settled: !is_new_fleet,
            table: Table::default(),
            scheduler,
            leader_term: None,
            batch: None,
            pending_calls,
            query_router: QueryRouter::default(),
            pending_counts: PendingCounts::default(),
            carriers: Carriers::default(),
            overload: Overload::default(),
            surplus: Surplus::default(),
            budget: Budget::default(),
            read_config: platform::read_config,
            proposed_config: None,
            organisation_labels: OrganisationLabels::default(),
            commits: BTreeMap::new(),
            ready: false,
            stop: None,
            stop_limits,
            lease_lapsed: None,
            last_ping: Time::ZERO,
            last_introduction: Time::ZERO,
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub(crate) fn reduce(&mut self, now: Time, unix: job::UnixMs, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Start => {
                effects.push(Effect::Subscribe { timer: Timer::Tick, after: TICK_INTERVAL });
                effects
                    .push(Effect::Subscribe { timer: Timer::Beat, after: PEER_CHECK_INTERVAL / 4 });
                self.step_quorum(now, unix, quorum::Event::Start, &mut effects);
            }
            Event::Timer(Timer::Quorum(timer)) => {
                self.step_quorum(now, unix, quorum::Event::Timer(timer), &mut effects);
            }
            Event::Timer(Timer::Tick) => self.on_tick(now, unix, &mut effects),
            Event::Timer(Timer::Beat) => self.check_peers(now, unix, &mut effects),
            Event::Timer(Timer::Drain) => effects.push(Effect::Drain),
            Event::Peer { from, message } => {
                self.on_peer(now, unix, from, message, &mut effects);
            }
            Event::Synced { term, index } => {
                self.step_quorum(now, unix, quorum::Event::Synced { term, index }, &mut effects);
            }
            Event::Call { ticket, call, timeout } => {
                self.on_call(now, unix, ticket, call, timeout, &mut effects);
            }
            Event::InstanceAnswered { id, result, origin: Some((to, boot)) } => {
                let message = Message::OrderResult { id, boot, result };
                effects.push(Effect::Send { to, message });
            }
            Event::InstanceAnswered { id, result, origin: None } => {
                let event = job::Event::InstanceAnswered { id, result };
                self.step_scheduler(now, unix, event, &mut effects);
            }
            Event::PlatformAnswered { id, result } => {
                self.step_scheduler(
                    now,
                    unix,
                    job::Event::PlatformAnswered { id, result },
                    &mut effects,
                );
            }
            Event::AdmissionAnswered { id, result, leader } => {
                self.on_admission_answered(now, unix, id, result, leader, &mut effects);
            }
            Event::Timer(Timer::Disk) => effects.push(Effect::OpenDisk),
            Event::DiskLost => self.on_disk_lost(now, unix, &mut effects),
            Event::DiskOpened { restored, boot } => {
                self.on_disk_opened(now, unix, *restored, boot, &mut effects);
            }
            Event::SeedsChanged(seeds) => {
                self.pending_calls.known.extend(seeds.iter().cloned());
                self.seeds = seeds;
            }
            Event::Stop => self.stop(now, &mut effects),
        }
        self.update_leadership(now, unix, &mut effects);
        effects
    }

    /// Whether the scheduler was told that this daemon leads.
    pub(crate) fn leads(&self) -> bool {
        self.leader_term.is_some()
    }

    /// Whether this daemon takes part in the agreement.
    pub(crate) fn is_member(&self) -> bool {
        self.quorum.is_some()
    }

    /// Whether this daemon is the confirmed leader of a fleet that accepts commands.
    pub(crate) fn can_serve(&self, now: Time) -> bool {
        self.settled && self.quorum.as_ref().is_some_and(|quorum| quorum.has_leader_lease(now))
    }

    /// Takes a call of a client. While stopping, a call that arrives after the deadline of all calls
    /// is refused.
    fn on_call(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        ticket: CallTicket,
        call: Call,
        timeout: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let until = self.stop.map_or(now + timeout, |stop| stop.bound(now + timeout));
        if self.stop.is_some() && until <= now {
            let answer = Answer::NotRun { retry: PendingCalls::RETRY_AFTER };
            return self.give_up(now, ticket, call.subject(), answer, effects);
        }
        let call = match (call, self.version()) {
            (Call::Config, Some(version)) => Call::ConfigSince(version),
            (call, _) => call,
        };
        self.pending_calls.insert(ticket, call, until);
        self.serve_or_forward(now, unix, ticket, effects);
    }

    /// Answers a call whose result this daemon does not wait for any longer.
    fn give_up(
        &self,
        now: Time,
        ticket: CallTicket,
        subject: String,
        answer: Answer,
        effects: &mut Vec<Effect>,
    ) {
        let why = format!("{answer:?}, leader {:?}", self.pending_calls.leader);
        effects.push(match self.stop {
            None => log::line("call-given-up", subject, &why),
            Some(stop) => {
                let age = now.saturating_sub(stop.asked_at).as_millis();
                log::line("call-stopped", subject, &format!("{why}, {age} ms after the signal"))
            }
        });
        effects.push(Effect::Answer { ticket, answer });
    }

    /// Starts the stop: callers are still served, but the load balancer is told to redirect them, and
    /// every call has a deadline within the grace period.
    fn stop(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.stop.is_some() {
            return;
        }
        let plan = stop::Plan::new(now, self.stop_limits);
        self.stop = Some(plan);
        self.pending_calls.bound(&plan);
        let after = |at: Option<Time>| match at {
            Some(at) => format!("within {} ms", at.saturating_sub(now).as_millis()),
            None => "at any time".into(),
        };
        let why = format!(
            "asked to stop; drains {}, answers calls {}, ends {}",
            after(Some(plan.drains_at())),
            after(plan.call_deadline()),
            after(plan.end()),
        );
        effects.push(log::line("stopping", String::new(), &why));
        self.ready = false;
        effects.push(Effect::Ready(false));
        effects.push(Effect::Subscribe { timer: Timer::Drain, after: plan.drains_at() - now });
        self.announce_stop(effects);
    }

    /// While stopping, tells the other members, so that another daemon gets the vote of this one while it
    /// still counts.
    fn announce_stop(&mut self, effects: &mut Vec<Effect>) {
        let Some(quorum) = self.quorum.as_ref().filter(|_| self.stop.is_some()) else { return };
        let boot = quorum.boot();
        self.membership.leave(self.id.clone(), boot);
        self.broadcast(&Message::Leaving { boot }, effects);
    }

    /// Sends a message to the other members.
    pub(crate) fn broadcast(&self, message: &Message, effects: &mut Vec<Effect>) {
        let Some(quorum) = &self.quorum else { return };
        let others = quorum.members().iter().filter(|(name, _)| **name != self.id);
        let send = |to: &Name| Effect::Send { to: to.clone(), message: message.clone() };
        effects.extend(others.map(|(to, _)| send(to)));
    }

    /// Answers clients whose command is not committed by the deadline of all calls.
    fn give_up_commits(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let is_due = |stop: stop::Plan| stop.call_deadline().is_some_and(|at| now >= at);
        if !self.stop.is_some_and(is_due) {
            return;
        }
        let mut late = Vec::new();
        for (index, waiting) in &mut self.commits {
            let is_client = |reply_to: &mut ReplyTo| matches!(reply_to, ReplyTo::Client(_));
            late.extend(waiting.extract_if(.., is_client).map(|reply_to| (*index, reply_to)));
        }
        for (index, reply_to) in late {
            let ReplyTo::Client(ticket) = reply_to else { continue };
            let subject = format!("entry {index}");
            self.give_up(now, ticket, subject, Answer::Unknown, effects);
        }
    }

    /// Stops taking part in the quorum after the disk failed. Data that was not durable counts as
    /// never received: once the folder can be opened again, the daemon starts from its contents, as
    /// after a restart.
    fn on_disk_lost(&mut self, now: Time, unix: job::UnixMs, effects: &mut Vec<Effect>) {
        self.quorum = None;
        self.disk = None;
        self.update_leadership(now, unix, effects);
        self.table = Table::default();
        effects.push(Effect::Subscribe { timer: Timer::Disk, after: DISK_RETRY_DELAY });
    }

    fn on_disk_opened(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        restored: quorum::PersistentState,
        boot: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.disk = restored.disk;
        let quorum = quorum::State::new(self.id.clone(), BTreeMap::new(), restored, boot);
        self.pending_calls.known.extend(quorum.members().iter().map(|(name, _)| name.clone()));
        self.quorum = Some(quorum);
        self.step_quorum(now, unix, quorum::Event::Start, effects);
    }

    fn on_tick(&mut self, now: Time, unix: job::UnixMs, effects: &mut Vec<Effect>) {
        effects.push(Effect::Subscribe { timer: Timer::Tick, after: TICK_INTERVAL });
        for id in self.carriers.expired(now) {
            self.on_order_result(now, unix, id, Err(job::CallError::Timeout), effects);
        }
        if self.can_serve(now) {
            self.check_former_leaders(now, unix, effects);
            self.scheduler.set_lag(self.overload.lag());
            self.step_scheduler(now, unix, job::Event::Tick, effects);
        }
        for ticket in self.pending_calls.tickets() {
            self.serve_or_forward(now, unix, ticket, effects);
        }
        for (ticket, call, answer) in self.pending_calls.take_expired(now) {
            self.give_up(now, ticket, call.subject(), answer, effects);
        }
        self.give_up_commits(now, effects);
    }

    /// Tells the scheduler which former leaders have restarted: a member that follows this leader
    /// reports the run of its process in its answers.
    fn check_former_leaders(&mut self, now: Time, unix: job::UnixMs, effects: &mut Vec<Effect>) {
        let Some(quorum) = &self.quorum else { return };
        let has_restarted = |former: &&job::Leader| {
            quorum.boot_of(&former.name).is_some_and(|boot| !runs::share_process(boot, former.boot))
        };
        let former = self.scheduler.former_leaders().iter();
        let ended: Vec<_> = former.filter(has_restarted).cloned().collect();
        for former in ended {
            self.step_scheduler(now, unix, job::Event::FormerLeaderEnded(former), effects);
        }
    }

    fn check_peers(&mut self, now: Time, unix: job::UnixMs, effects: &mut Vec<Effect>) {
        effects.push(Effect::Subscribe { timer: Timer::Beat, after: PEER_CHECK_INTERVAL });
        self.is_new_fleet &= !self.knows_log(now);
        self.request_membership(now, effects);
        self.announce_stop(effects);
        self.update_members(now, unix, effects);
        self.ping(now, effects);
        self.introduce(now, effects);
        let serves = self.can_serve(now) && self.table.config.is_some();
        if serves {
            self.pending_calls.last_served = Some(now);
            let max_queries = self.query_router.max_queries(now);
            self.step_scheduler(now, unix, job::Event::MaxQueries(max_queries), effects);
            self.choose_carriers(now, effects);
        }
        self.report_organisations(now, effects);
        let ready = self
            .pending_calls
            .last_served
            .is_some_and(|at| now < at + PendingCalls::LEADERLESS_TIMEOUT)
            && self.stop.is_none();
        if ready != self.ready {
            self.ready = ready;
            effects.push(Effect::Ready(ready));
        }
    }

    /// Asks a peer for the leader, unless this daemon leads.
    fn ping(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let has_leader = self.pending_calls.leader.is_some();
        let interval = if self.pending_calls.large_fleet && has_leader {
            PING_INTERVAL_IN_LARGE_FLEET
        } else {
            PING_INTERVAL
        };
        if now < self.last_ping + interval || self.can_serve(now) {
            return;
        }
        self.last_ping = now;
        if let Some(to) = self.pending_calls.choose_peer(&self.id) {
            effects.push(Effect::Send { to, message: self.ping_message(now) });
        }
        if let Some(to) = self.pending_calls.choose_other_member(&self.id) {
            effects.push(Effect::Send { to, message: self.ping_message(now) });
        }
        let leader_overdue = self
            .pending_calls
            .last_served
            .is_none_or(|at| now > at + PendingCalls::LEADERLESS_TIMEOUT / 2);
        if leader_overdue && self.pending_calls.leader.is_some() {
            // The leader may be gone, so other peers have to be asked as well.
            self.pending_calls.leader =
                self.quorum.as_ref().and_then(|quorum| quorum.recent_leader(now).cloned());
        }
    }

    fn ping_message(&self, now: Time) -> Message {
        Message::Ping { data_center: self.data_center.clone(), clock: self.clock(now) }
    }

    /// Tells the seeds outside the quorum who leads and who the members are. After a restart, a
    /// daemon without a disk knows nothing but its seeds. These may all be daemons without a disk
    /// that have restarted as well, so that only the members can bring them together.
    fn introduce(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(quorum) = &self.quorum else { return };
        let leader = quorum.recent_leader(now).cloned();
        if leader.is_none() || now < self.last_introduction + INTRODUCTION_INTERVAL {
            return;
        }
        self.last_introduction = now;
        let outside = |seed: &&Name| **seed != self.id && quorum.members().get(seed).is_none();
        for to in self.seeds.iter().filter(outside).cloned() {
            effects.push(Effect::Send { to, message: self.pong(now) });
        }
    }

    /// Who leads and who the members are, as far as this daemon knows.
    fn pong(&self, now: Time) -> Message {
        let members = match &self.quorum {
            Some(quorum) => quorum.members().iter().map(|(name, _)| name.clone()).collect(),
            None => self.pending_calls.members.iter().cloned().collect(),
        };
        let serves = self.can_serve(now) && self.table.config.is_some();
        Message::Pong {
            leader: self.leader(now),
            members,
            serves,
            large_fleet: self.carriers.is_large_fleet(),
            order_hold: self.order_hold(),
            clock: self.clock(now),
        }
    }

    /// How long orders to instances, and their results, are held to share frames: as this leader, or
    /// the last one that this daemon heard from, decides.
    pub(crate) fn order_hold(&self) -> Duration {
        if self.leads() { self.carriers.order_hold() } else { self.pending_calls.order_hold }
    }

    /// Reading of this daemon's clock.
    fn clock(&self, now: Time) -> Reading {
        Reading { boot: self.boot, at: now }
    }

    /// Offers to start the log of a new fleet, or asks to join an existing one.
    fn request_membership(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(quorum) = self.quorum.as_ref().filter(|_| self.disk.is_some()) else { return };
        if quorum.recent_leader(now).is_some() || self.stop.is_some() {
            return;
        }
        let is_empty = quorum.last_index() == 0 && !quorum.members().is_bootstrapped();
        if self.is_new_fleet && is_empty {
            for to in self.seeds.clone() {
                if to == self.id {
                    self.on_offer(now, self.id.clone(), effects);
                } else {
                    effects.push(Effect::Send { to, message: Message::FounderOffer });
                }
            }
        }
        let others = self.pending_calls.known.iter().filter(|name| **name != self.id).cloned();
        effects.extend(others.map(|to| Effect::Send { to, message: Message::Join }));
    }

    /// Handles the offer of a daemon to start the log. A vote for an address holds for the daemon that
    /// founds the log there, not for one that is back at the address with an empty disk.
    fn on_offer(&mut self, now: Time, from: Name, effects: &mut Vec<Effect>) {
        self.pending_calls.known.insert(from.clone());
        if !self.is_new_fleet || !self.seeds.contains(&self.id) || self.knows_log(now) {
            return;
        }
        let Some(vote) = self.bootstrap.offer(now, from.clone()) else { return };
        if from == self.id {
            self.on_vote(now, self.id.clone(), vote, effects);
        } else {
            effects.push(Effect::Send { to: from, message: Message::FounderVote(vote) });
        }
    }

    /// Whether this daemon has some of the log, or knows who leads.
    fn knows_log(&self, now: Time) -> bool {
        let has_log = self.quorum.as_ref().is_some_and(|quorum| quorum.members().is_bootstrapped());
        has_log || self.leader(now).is_some()
    }

    /// Handles the vote of a seed, and starts the log once this daemon has a majority.
    fn on_vote(&mut self, now: Time, from: Name, vote: Name, effects: &mut Vec<Effect>) {
        let elected = self.bootstrap.vote(&self.seeds, from, &vote, &self.id);
        let Some(quorum) = self.quorum.as_mut().filter(|_| elected && self.is_new_fleet) else {
            return;
        };
        let founded = quorum.bootstrap(now);
        if !founded.is_empty() {
            effects.push(log::line(
                "founding",
                self.id.to_string(),
                "elected by a majority of the seeds",
            ));
        }
        for effect in founded {
            self.on_quorum(now, 0, effect, effects);
        }
    }

    /// Changes the members of the quorum if this daemon leads and a change is due.
    fn update_members(&mut self, now: Time, unix: job::UnixMs, effects: &mut Vec<Effect>) {
        let Some(quorum) = self.quorum.as_mut().filter(|quorum| quorum.has_leader_lease(now))
        else {
            return;
        };
        self.settled = self.settled || self.membership.is_settled(now, quorum, self.seeds.len());
        let Some(change) = self.membership.next_change(now, quorum) else { return };
        let about = change.name().to_string();
        effects.push(log::line("member-change", about, &format!("{change:?}")));
        self.step_quorum(now, unix, quorum::Event::Change(change), effects);
    }

    fn on_peer(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Quorum(message) => {
                let event = quorum::Event::Message { from, message };
                self.step_quorum(now, unix, event, effects);
            }
            Message::FounderOffer => self.on_offer(now, from, effects),
            Message::FounderVote(vote) => self.on_vote(now, from, vote, effects),
            Message::Join => {
                if self.quorum.as_ref().is_some_and(|quorum| quorum.has_leader_lease(now)) {
                    self.membership.join(now, from);
                }
            }
            Message::Forward { ticket, call, deadline } => {
                self.on_forward(now, unix, from, ticket, call, deadline, effects);
            }
            Message::Answer { ticket, answer } => {
                self.pending_calls.last_heard = Some(now);
                if let Some(answer) = self.pending_calls.on_answer(ticket, &from, answer) {
                    let config = self.table.config.as_ref().filter(|_| answer == Answer::Current);
                    let answer =
                        config.map_or(answer, |config| Answer::Config(config.text.clone()));
                    effects.push(Effect::Answer { ticket, answer });
                }
            }
            Message::ClockUnknown { ticket, clock } => {
                self.pending_calls.clocks.record(now, &from, clock);
                self.pending_calls.on_not_carried_out(ticket, &from);
                self.serve_or_forward(now, unix, ticket, effects);
            }
            Message::NotLeader { ticket, leader } => {
                self.pending_calls.on_not_leader(ticket, &from, leader);
                if self.pending_calls.leader.is_some() {
                    self.serve_or_forward(now, unix, ticket, effects);
                }
            }
            Message::AdmissionQuery { id, query } => {
                effects.push(Effect::QueryAdmission { id, query, leader: Some(from) });
            }
            Message::AdmissionAnswer { id, result } => {
                let id = id.wrapping_sub(self.boot);
                self.on_admission_answered(now, unix, id, result, None, effects);
            }
            Message::Ping { data_center, clock } => {
                self.query_router.heard_from(now, &self.id, &from);
                self.membership.heard_from(&from, clock.boot);
                self.pending_calls.clocks.record(now, &from, clock);
                self.carriers.heard_from(now, &from, &data_center);
                effects.push(Effect::Send { to: from, message: self.pong(now) });
            }
            Message::Pong { leader, members, serves, large_fleet, order_hold, clock } => {
                self.pending_calls.last_heard = Some(now);
                self.pending_calls.clocks.record(now, &from, clock);
                self.pending_calls.known.extend(members.iter().cloned());
                if !members.is_empty() {
                    self.pending_calls.members = members.into_iter().collect();
                }
                self.pending_calls.known.extend(leader.clone());
                if serves {
                    self.pending_calls.large_fleet = large_fleet;
                    self.pending_calls.order_hold = order_hold.min(Carriers::MAX_ORDER_HOLD);
                    self.pending_calls.leader = Some(from);
                    self.pending_calls.last_served = Some(now);
                } else if leader.as_ref() != Some(&from) {
                    self.pending_calls.leader = leader;
                }
            }
            Message::Order { boot, call, deadline } => {
                let leader = (from, boot);
                effects.push(self.carry_order(now, leader, call, deadline));
            }
            Message::OrderResult { id, boot, result } => {
                if boot == self.boot {
                    self.on_order_result(now, unix, id, result, effects);
                }
            }
            Message::Announced(announcement) => {
                self.step_scheduler(now, unix, job::Event::Announced(announcement), effects);
            }
            Message::Leaving { boot } => {
                self.membership.leave(from, boot);
                self.update_members(now, unix, effects);
            }
        }
    }

    /// Serves a call that another daemon forwarded, unless that has given it up.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    fn on_forward(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        from: Name,
        ticket: CallTicket,
        call: Call,
        deadline: Option<Reading>,
        effects: &mut Vec<Effect>,
    ) {
        if !self.can_serve(now) {
            let message = Message::NotLeader { ticket, leader: self.leader(now) };
            return effects.push(Effect::Send { to: from, message });
        }
        let Some(deadline) = deadline.filter(|deadline| deadline.boot == self.boot) else {
            let message = Message::ClockUnknown { ticket, clock: self.clock(now) };
            return effects.push(Effect::Send { to: from, message });
        };
        let reply_to = ReplyTo::Peer(from, ticket);
        if now >= deadline.at {
            let late = (now - deadline.at).as_millis();
            let why = format!("arrived {late} ms after its deadline");
            effects.push(log::line("call-expired", call.subject(), &why));
            let answer = Answer::NotRun { retry: PendingCalls::RETRY_AFTER };
            return self.answer(reply_to, answer, effects);
        }
        self.serve(now, unix, reply_to, call, effects);
    }

    /// Handles the answer to an admission query, or returns it to the leader that requested it.
    fn on_admission_answered(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        id: job::CallId,
        result: job::AdmissionResult,
        leader: Option<Name>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(to) = leader {
            return effects
                .push(Effect::Send { to, message: Message::AdmissionAnswer { id, result } });
        }
        self.query_router.finish(id);
        self.step_scheduler(now, unix, job::Event::AdmissionAnswered { id, result }, effects);
    }

    /// The leader, as far as this daemon knows.
    pub(crate) fn leader(&self, now: Time) -> Option<Name> {
        match &self.quorum {
            Some(quorum) => quorum.recent_leader(now).cloned(),
            // Only a recent report is passed on: an old one could direct others to a daemon that no
            // longer leads.
            None => self.pending_calls.recent_leader(now),
        }
    }

    pub(crate) fn step_quorum(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        event: quorum::Event,
        effects: &mut Vec<Effect>,
    ) {
        let Some(quorum) = &mut self.quorum else { return };
        for effect in quorum.reduce(now, event) {
            self.on_quorum(now, unix, effect, effects);
        }
    }

    fn on_quorum(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        effect: quorum::Effect,
        effects: &mut Vec<Effect>,
    ) {
        match effect {
            quorum::Effect::Persist(record) => effects.push(Effect::Persist(record)),
            quorum::Effect::Send { to, message } => {
                // A leader counts its own entries towards a majority only once they are durable, so
                // it may send them to others earlier.
                let before_durable = matches!(
                    message,
                    quorum::Message::Append { .. } | quorum::Message::Chunk { .. }
                );
                let message = Message::Quorum(message);
                effects.push(if before_durable {
                    Effect::Send { to, message }
                } else {
                    Effect::SendDurable { to, message }
                });
            }
            quorum::Effect::Subscribe { timer, after } => {
                effects.push(Effect::Subscribe { timer: Timer::Quorum(timer), after });
            }
            quorum::Effect::Apply { index, entry } => self.apply(now, unix, index, entry, effects),
            quorum::Effect::Snapshot { index } => {
                if let Ok(state) = postcard::to_stdvec(&self.table) {
                    self.step_quorum(now, unix, quorum::Event::Snapshot { index, state }, effects);
                }
            }
            quorum::Effect::Install(snapshot) => {
                let table = postcard::from_bytes(&snapshot.state);
                self.table = table.expect("snapshots decode: a voter of this version encoded them");
                self.scheduler.record_snapshot(now);
            }
            quorum::Effect::Changed(Ok(_)) => {}
            quorum::Effect::Changed(Err(refusal)) => {
                let why = format!("{refusal:?}");
                effects.push(log::line("member-unchanged", self.id.to_string(), &why));
            }
            quorum::Effect::Leader(leader) => {
                if let Some(leader) = &leader {
                    self.pending_calls.leader = Some(leader.clone());
                }
                let about = leader.as_deref().unwrap_or("none").to_string();
                effects.push(log::line(
                    "leader-changed",
                    about,
                    "reported by the consensus protocol",
                ));
            }
        }
    }

    /// Tells the scheduler when leadership starts and ends, and answers waiting clients when it
    /// ends.
    fn update_leadership(&mut self, now: Time, unix: job::UnixMs, effects: &mut Vec<Effect>) {
        if self.stop.is_some() && self.quorum.as_ref().is_some_and(|quorum| quorum.is_leader()) {
            // Hand leadership over now, instead of waiting until the others miss this leader and
            // elect another one.
            self.step_quorum(now, unix, quorum::Event::Yield, effects);
        }
        let quorum = self.quorum.as_ref();
        let leads = quorum.is_some_and(|quorum| quorum.is_leader());
        let has_lease = quorum.is_some_and(|quorum| quorum.has_leader_lease(now));
        let term = quorum.map_or(0, |quorum| quorum.term());
        if let Some(led) = self.leader_term
            && (!leads || led != term)
        {
            let why = if self.quorum.is_none() {
                "its disk has failed".into()
            } else if term > led {
                format!("epoch {term} has begun")
            } else if self.stop.is_some() {
                "handed over".into()
            } else {
                "no majority has answered in time".into()
            };
            self.leader_term = None;
            self.lease_lapsed = None;
            self.batch = None;
            self.proposed_config = None;
            self.budget.resign();
            self.carriers.resign();
            self.step_scheduler(now, unix, job::Event::Resign, effects);
            for reply_to in std::mem::take(&mut self.commits).into_values().flatten() {
                self.answer(reply_to, Answer::Unknown, effects);
            }
            effects.push(log::line("resigned", self.id.to_string(), &why));
        }
        if self.leader_term.is_none() && leads && has_lease && self.settled {
            self.leader_term = Some(term);
            effects.push(log::line("owns", self.id.to_string(), &format!("epoch {term}")));
            self.choose_carriers(now, effects);
            let boot = self.quorum.as_ref().map_or(0, |quorum| quorum.boot());
            let leader = job::Leader { name: self.id.clone(), boot };
            let event = job::Event::Lead { epoch: term, leader: leader.clone() };
            self.step_scheduler(now, unix, event, effects);
            self.propose(now, unix, Command::TakeOver(leader), None, effects);
        }
        if self.leads() {
            self.log_lease(now, has_lease, effects);
        }
    }

    /// Logs when this leader loses its lease, without which it answers nothing, and when it has it
    /// again.
    fn log_lease(&mut self, now: Time, has_lease: bool, effects: &mut Vec<Effect>) {
        match self.lease_lapsed {
            None if !has_lease => {
                self.lease_lapsed = Some(now);
                let contact = self.quorum.as_ref().and_then(|q| q.last_majority_contact(now));
                let age = now.saturating_sub(contact.unwrap_or_default()).as_millis();
                let why = format!("a majority last answered what was sent {age} ms ago");
                effects.push(log::line("lease-lapsed", self.id.to_string(), &why));
            }
            Some(since) if has_lease => {
                self.lease_lapsed = None;
                let why = format!("after {} ms", now.saturating_sub(since).as_millis());
                effects.push(log::line("lease-renewed", self.id.to_string(), &why));
            }
            _ => {}
        }
    }
}
