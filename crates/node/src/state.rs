use super::*;

/// Between two looks at leases and proposals.
const BEAT: Duration = Duration::from_millis(200);

/// Step of log time.
const TICK: Duration = Duration::from_secs(10);

/// State of a daemon.
#[derive(Debug)]
pub struct State {
    id: Name,
    quorum: quorum::State,
    replica: Replica,
    route: route::State,
    proposals: Proposals,
    /// Upstreams heard here since the last beat.
    heard: BTreeSet<Name>,
    leases: Leases,
    controller: Controller,
    /// When log time last moved, or this daemon began to lead.
    ticked: Time,
    view: bool,
    stopping: bool,
    /// How long requests are still taken once the health check fails on purpose.
    stop_grace: Duration,
    draining: bool,
}

impl State {
    /// A daemon that has just started; `boot` differs between any two starts.
    pub fn new(quorum: quorum::State, boot: u64) -> Self {
        let id = quorum.id().clone();
        Self {
            proposals: Proposals::new(id.clone(), boot),
            quorum,
            replica: Replica::default(),
            route: route::State::new(id.clone(), boot, route::Policy::default()),
            id,
            heard: BTreeSet::new(),
            leases: Leases::default(),
            controller: Controller::default(),
            ticked: Duration::ZERO,
            view: false,
            stopping: false,
            stop_grace: Duration::ZERO,
            draining: false,
        }
    }

    /// Takes requests for `grace` after the health check began to fail for a stop.
    pub fn with_stop_grace(self, grace: Duration) -> Self {
        Self { stop_grace: grace, ..self }
    }

    /// Until when the daemon may act on its configuration.
    pub fn view_lease_end(&self) -> Time {
        self.quorum.view_lease_end()
    }

    /// Takes one event, and says what is to be done.
    pub fn reduce(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.look_at_view(now, &mut effects);
        match event {
            Event::Start => self.start(now, &mut effects),
            Event::Timer(timer) => self.on_timer(now, timer, &mut effects),
            Event::Peer { from, message } => self.on_peer(now, from, message, &mut effects),
            Event::Synced { term, index } => {
                self.agree(now, quorum::Event::Synced { term, index }, &mut effects);
            }
            Event::Operator { ticket, call } => self.on_operator(now, ticket, call, &mut effects),
            Event::Upstream { ticket, call } => self.on_upstream(now, ticket, call, &mut effects),
            Event::Platform(report) => self.on_platform(now, report, &mut effects),
            Event::Route(event) => self.route(now, event, &mut effects),
            Event::Stop => self.stop(&mut effects),
        }
        self.look_at_view(now, &mut effects);
        if self.draining && self.route.pending() == 0 {
            effects.push(Effect::Stopped);
        }
        effects
    }

    fn start(&mut self, now: Time, effects: &mut Vec<Effect>) {
        effects.push(Effect::Health(false));
        effects.push(Effect::Subscribe { timer: Timer::Beat, after: BEAT });
        self.agree(now, quorum::Event::Start, effects);
    }

    /// Fails the health check first, so that the balancer has time to send callers elsewhere.
    fn stop(&mut self, effects: &mut Vec<Effect>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        effects.push(Effect::Health(false));
        effects.push(Effect::Subscribe { timer: Timer::Grace, after: self.stop_grace });
    }

    fn drain(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.draining = true;
        self.route(now, route::Event::Stop, effects);
    }

    fn look_at_view(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let view = self.quorum.has_view_lease(now);
        if view != self.view {
            self.view = view;
            effects.push(Effect::Health(view && !self.stopping));
            self.route(now, route::Event::View(view), effects);
        }
    }

    fn on_timer(&mut self, now: Time, timer: Timer, effects: &mut Vec<Effect>) {
        match timer {
            Timer::Quorum(timer) => self.agree(now, quorum::Event::Timer(timer), effects),
            Timer::Route(timer) => self.route(now, route::Event::Timer(timer), effects),
            Timer::Beat => self.beat(now, effects),
            Timer::Grace => self.drain(now, effects),
        }
    }

    fn on_peer(&mut self, now: Time, from: Name, message: Message, effects: &mut Vec<Effect>) {
        match message {
            Message::Quorum(message) => {
                self.agree(now, quorum::Event::Message { from, message }, effects);
            }
            Message::Route(message) => {
                self.route(now, route::Event::Message { from, message }, effects);
            }
            Message::Propose(proposal) => self.append(now, &proposal, effects),
            Message::Heard(instances) => self.renew(now, instances),
            Message::Idle(drains) => self.controller.drains.report(now, from, drains),
        }
    }

    fn on_operator(
        &mut self,
        now: Time,
        ticket: Ticket,
        call: operator::Call,
        effects: &mut Vec<Effect>,
    ) {
        let reply = match call {
            operator::Call::Apply(change) => {
                let command = fleet::Command::Change(*change).into();
                return self.propose(now, command, Some(Caller::Operator(ticket)), effects);
            }
            operator::Call::Maintain(order) => {
                let command = fleet::Command::Maintain(order).into();
                return self.propose(now, command, Some(Caller::Operator(ticket)), effects);
            }
            operator::Call::Forget { request, author, instance } => {
                let command = fleet::Command::Forget { request, author, instance }.into();
                return self.propose(now, command, Some(Caller::Operator(ticket)), effects);
            }
            operator::Call::Member(change) => self.change_member(now, change, effects),
            operator::Call::Submit { id, job } => {
                let command = place::Command::Submit { id, job: *job }.into();
                return self.propose(now, command, Some(Caller::Operator(ticket)), effects);
            }
            operator::Call::CancelJob(id) => {
                let command = place::Command::Cancel { id }.into();
                return self.propose(now, command, Some(Caller::Operator(ticket)), effects);
            }
            operator::Call::Job(job) => {
                let standing = self.replica.place.explain(&job);
                operator::Reply::Job { job, standing }
            }
            operator::Call::Status => operator::Reply::Status(self.status(now)),
            call => view::reply(&self.replica.fleet, call),
        };
        effects.push(Effect::Operator { ticket, reply });
    }

    fn status(&self, now: Time) -> operator::Status {
        operator::Status {
            daemon: self.id.clone(),
            leader: self.quorum.leader().cloned(),
            members: self.quorum.members().iter().map(|(n, m)| (n.clone(), m)).collect(),
            lost_disk: self.quorum.lost_disk(),
            term: self.quorum.term(),
            view: self.quorum.has_view_lease(now),
            revision: self.replica.fleet.revision(),
            applied: self.replica.applied,
            forced: self.quorum.forced(),
            pending: self.route.pending(),
            upstreams: self.replica.fleet.upstreams().clone(),
            overview: Overview::new(&self.replica.fleet),
        }
    }

    fn on_upstream(
        &mut self,
        now: Time,
        ticket: Ticket,
        call: upstream::Call,
        effects: &mut Vec<Effect>,
    ) {
        let caller = Some(Caller::Upstream(ticket));
        match call {
            upstream::Call::Announce(announcement) => {
                self.heard.insert(announcement.instance.clone());
                let command = fleet::Command::Announce(announcement).into();
                self.propose(now, command, caller, effects);
            }
            upstream::Call::Renew { instance, incarnation } => {
                let known = self.replica.fleet.upstreams().get(&instance).is_some_and(|upstream| {
                    upstream.announcement.incarnation == incarnation
                        && upstream.presence != fleet::Presence::Lapsed
                });
                if known {
                    self.heard.insert(instance);
                }
                let reply =
                    if known { upstream::Reply::Done } else { upstream::Reply::NotAnnounced };
                effects.push(Effect::Upstream { ticket, reply });
            }
            upstream::Call::Leave { instance, incarnation } => {
                let command = fleet::Command::Leave { instance, incarnation }.into();
                self.propose(now, command, caller, effects);
            }
        }
    }

    fn propose(
        &mut self,
        now: Time,
        command: Command,
        caller: Option<Caller>,
        effects: &mut Vec<Effect>,
    ) {
        let proposal = self.proposals.make(now, command, caller);
        self.pass_on(now, &proposal, effects);
    }

    fn pass_on(&mut self, now: Time, proposal: &Proposal, effects: &mut Vec<Effect>) {
        if self.quorum.is_leader() {
            return self.append(now, proposal, effects);
        }
        if let Some(to) = self.quorum.leader().cloned() {
            effects
                .push(Effect::Send { to, message: Message::Propose(Box::new(proposal.clone())) });
        }
    }

    fn append(&mut self, now: Time, proposal: &Proposal, effects: &mut Vec<Effect>) {
        let Ok(command) = postcard::to_stdvec(proposal) else { return };
        self.agree(now, quorum::Event::Propose(command), effects);
    }

    fn agree(&mut self, now: Time, event: quorum::Event, effects: &mut Vec<Effect>) {
        for effect in self.quorum.reduce(now, event) {
            self.on_quorum(now, effect, effects);
        }
    }

    fn change_member(
        &mut self,
        now: Time,
        change: quorum::Change,
        effects: &mut Vec<Effect>,
    ) -> operator::Reply {
        let mut reply = operator::Reply::Unknown;
        for effect in self.quorum.reduce(now, quorum::Event::Change(change)) {
            match effect {
                quorum::Effect::Changed(Ok(index)) => reply = operator::Reply::Changing { index },
                quorum::Effect::Changed(Err(refusal)) => {
                    let leader = self.quorum.leader().cloned();
                    reply = operator::Reply::Unchanged { refusal, leader };
                }
                effect => self.on_quorum(now, effect, effects),
            }
        }
        reply
    }

    fn on_quorum(&mut self, now: Time, effect: quorum::Effect, effects: &mut Vec<Effect>) {
        match effect {
            quorum::Effect::Persist(record) => effects.push(Effect::Persist(record)),
            quorum::Effect::Send { to, message } => {
                effects.push(Effect::Send { to, message: Message::Quorum(message) });
            }
            quorum::Effect::Subscribe { timer, after } => {
                effects.push(Effect::Subscribe { timer: timer.into(), after });
            }
            quorum::Effect::Apply { index, entry } => self.apply(now, index, entry, effects),
            quorum::Effect::Snapshot { index } => self.snapshot(now, index, effects),
            quorum::Effect::Install(snapshot) => self.install(now, &snapshot, effects),
            quorum::Effect::Changed(_) => {}
            quorum::Effect::Leader(leader) => self.on_leader(now, leader, effects),
        }
    }

    fn on_leader(&mut self, now: Time, leader: Option<Name>, effects: &mut Vec<Effect>) {
        self.leases.clear();
        self.ticked = now;
        let leads = self.quorum.is_leader();
        self.controller.lead(now, leads.then_some(&self.replica.fleet));
        if leads {
            let instances = self.replica.fleet.upstreams().keys().cloned().collect();
            self.renew(now, instances);
        }
        effects.push(Effect::Leader(leader));
        self.repeat(now, Duration::ZERO, effects);
    }

    fn apply(&mut self, now: Time, index: Index, entry: quorum::Entry, effects: &mut Vec<Effect>) {
        if entry.command.is_empty() {
            self.replica.applied = index;
            return;
        }
        let proposal = postcard::from_bytes::<Proposal>(&entry.command);
        let proposal = proposal.expect("committed entries decode: the leader encoded them");
        let caller = self.proposals.finish(&proposal);
        let clock = self.replica.route.claims.clock();
        let outcomes = self.replica.apply(index, proposal.command);
        if self.replica.route.claims.clock() != clock {
            self.ticked = now;
        }
        self.reply(index, caller, &outcomes, effects);
        for outcome in outcomes {
            self.on_outcome(now, outcome, effects);
        }
    }

    fn snapshot(&mut self, now: Time, index: Index, effects: &mut Vec<Effect>) {
        let Ok(state) = postcard::to_stdvec(&self.replica) else { return };
        self.agree(now, quorum::Event::Snapshot { index, state }, effects);
    }

    fn install(&mut self, now: Time, snapshot: &quorum::Snapshot, effects: &mut Vec<Effect>) {
        let replica = postcard::from_bytes::<Replica>(&snapshot.state);
        let replica = replica.expect("snapshots decode: a daemon encoded them");
        let former = std::mem::replace(&mut self.replica, replica);
        self.ticked = now;
        for outcome in self.replica.outcomes(&former) {
            self.on_outcome(now, outcome, effects);
        }
    }

    fn on_outcome(&mut self, now: Time, outcome: Outcome, effects: &mut Vec<Effect>) {
        match outcome {
            Outcome::Fleet(effect) => self.on_fleet(now, effect, effects),
            Outcome::Place(_) => {}
            Outcome::Route(verdict) => self.route(now, route::Event::Decided(verdict), effects),
        }
    }

    fn reply(
        &self,
        index: Index,
        caller: Option<Caller>,
        outcomes: &[Outcome],
        effects: &mut Vec<Effect>,
    ) {
        match caller {
            Some(Caller::Upstream(ticket)) => {
                effects.push(Effect::Upstream { ticket, reply: upstream::Reply::Done });
            }
            Some(Caller::Operator(ticket)) => {
                let reply = outcomes.iter().find_map(|outcome| operator::Reply::to(outcome, index));
                let Some(reply) = reply else { return };
                effects.push(Effect::Operator { ticket, reply });
            }
            None => {}
        }
    }

    fn on_fleet(&mut self, now: Time, effect: fleet::Effect, effects: &mut Vec<Effect>) {
        match effect {
            fleet::Effect::Verdict { .. } => {}
            fleet::Effect::Configured(config) => {
                self.route(now, route::Event::Configured(config), effects);
            }
            fleet::Effect::Upstream(upstream) => {
                let instance = upstream.announcement.instance;
                if upstream.presence == fleet::Presence::Serving {
                    self.renew(now, vec![instance]);
                } else {
                    self.leases.remove(&instance);
                }
            }
            fleet::Effect::Serving(announcement) => {
                self.route(now, route::Event::Serving(announcement), effects);
            }
            fleet::Effect::NotServing(instance) => {
                self.route(now, route::Event::NotServing(instance), effects);
            }
        }
    }

    fn route(&mut self, now: Time, event: route::Event, effects: &mut Vec<Effect>) {
        for effect in self.route.reduce(now, event) {
            effects.push(match effect {
                route::Effect::Propose(command) => {
                    self.propose(now, command.into(), None, effects);
                    continue;
                }
                route::Effect::Send { to, message } => {
                    Effect::Send { to, message: Message::Route(message) }
                }
                route::Effect::Keep { request, attempt } => Effect::Keep { request, attempt },
                route::Effect::Share { to, question } => Effect::Share { to, question },
                route::Effect::Attempt(attempt) => Effect::Attempt(attempt),
                route::Effect::Answer { request, outcome } => Effect::Answer { request, outcome },
                route::Effect::Subscribe { timer, after } => {
                    Effect::Subscribe { timer: timer.into(), after }
                }
            });
        }
    }

    fn beat(&mut self, now: Time, effects: &mut Vec<Effect>) {
        effects.push(Effect::Subscribe { timer: Timer::Beat, after: BEAT });
        self.pass_on_heard(now, effects);
        self.lapse(now, effects);
        self.report_idle(now, effects);
        self.lead_fleet(now, effects);
        self.tick(now, effects);
        self.enrol(now, effects);
        self.give_up(now, effects);
        self.repeat(now, Proposals::REPEAT, effects);
    }

    fn pass_on_heard(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let instances: Vec<_> = std::mem::take(&mut self.heard).into_iter().collect();
        if instances.is_empty() {
            return;
        }
        if self.quorum.is_leader() {
            return self.renew(now, instances);
        }
        if let Some(to) = self.quorum.leader().cloned() {
            effects.push(Effect::Send { to, message: Message::Heard(instances) });
        }
    }

    /// Tells whoever leads on which drains this daemon has no work in flight.
    fn report_idle(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let draining = controller::draining(&self.replica.fleet);
        if draining.is_empty() {
            return;
        }
        let idle = draining.into_iter().filter(|(name, _)| self.route.in_flight(name) == 0);
        let idle = idle.collect();
        if self.quorum.is_leader() {
            return self.controller.drains.report(now, self.id.clone(), idle);
        }
        if let Some(to) = self.quorum.leader().cloned() {
            effects.push(Effect::Send { to, message: Message::Idle(idle) });
        }
    }

    fn lead_fleet(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if !self.quorum.is_leader() || self.proposals.awaits_step() {
            return;
        }
        let members = self.quorum.members().iter().map(|(name, _)| name.clone()).collect();
        for command in self.controller.commands(now, &self.replica.fleet, &members) {
            self.propose(now, command.into(), None, effects);
        }
        let calls = self.controller.calls(now, &self.replica.fleet);
        effects.extend(calls.into_iter().map(Effect::Platform));
    }

    fn on_platform(&mut self, now: Time, report: platform::Report, effects: &mut Vec<Effect>) {
        let command = self.controller.accepted(now, &self.replica.fleet, report);
        if let Some(command) = command.filter(|_| self.quorum.is_leader()) {
            self.propose(now, command.into(), None, effects);
        }
    }

    fn renew(&mut self, now: Time, instances: Vec<Name>) {
        if !self.quorum.is_leader() {
            return;
        }
        for instance in instances {
            self.leases.renew(now, instance);
        }
    }

    fn lapse(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for instance in self.leases.take_lapsed(now) {
            let Some(upstream) = self.replica.fleet.upstreams().get(&instance) else { continue };
            let incarnation = upstream.announcement.incarnation;
            let command = fleet::Command::Lapse { instance, incarnation }.into();
            self.propose(now, command, None, effects);
        }
    }

    /// Moves log time on, where there are claims that grow old.
    fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let passed = now - self.ticked;
        let claims = &self.replica.route.claims;
        if !self.quorum.is_leader() || claims.is_empty() || passed < TICK {
            return;
        }
        let from = claims.clock();
        let command = route::Command::Tick { from, to: from + passed };
        self.propose(now, command.into(), None, effects);
    }

    /// Keeps the roster: this daemon joins, and as the leader it parts those without a view.
    fn enrol(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let roster = self.replica.route.roster.clone();
        let (daemon, boot) = (self.id.clone(), self.proposals.boot());
        if self.view && !roster.contains(&daemon, boot) {
            let command = route::Command::Join { daemon, boot };
            self.propose(now, command.into(), None, effects);
        }
        for daemon in self.quorum.members_without_view(now) {
            let Some(boot) = roster.daemons().get(&daemon).copied() else { continue };
            let command = route::Command::Part { daemon, boot };
            self.propose(now, command.into(), None, effects);
        }
    }

    fn give_up(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for caller in self.proposals.give_up(now) {
            effects.push(match caller {
                Caller::Operator(ticket) => {
                    Effect::Operator { ticket, reply: operator::Reply::Unknown }
                }
                Caller::Upstream(ticket) => {
                    Effect::Upstream { ticket, reply: upstream::Reply::Unknown }
                }
            });
        }
    }

    /// Passes proposals on again that are older than `age`.
    fn repeat(&mut self, now: Time, age: Duration, effects: &mut Vec<Effect>) {
        for proposal in self.proposals.older(now, age) {
            self.pass_on(now, &proposal, effects);
        }
    }
}
