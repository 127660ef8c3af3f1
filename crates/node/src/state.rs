use super::*;

/// Interval of the periodic checks of leases and proposals.
const PERIODIC_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the leader advances the log clock: the time as recorded in the log, by which
/// claims of requests expire.
const LOG_TICK_INTERVAL: Duration = Duration::from_secs(10);

/// State of a daemon.
#[derive(Debug)]
pub struct State {
    id: Name,
    quorum: quorum::State,
    replica: Replica,
    route: route::State,
    proposals: Proposals,
    /// Instances that have announced themselves or renewed their lease at this daemon since the
    /// last periodic run.
    renewed_instances: BTreeSet<Name>,
    leases: Leases,
    controller: Controller,
    /// When the log clock last advanced, the leader last changed, or a snapshot was last installed,
    /// as seen by this daemon.
    log_clock_advanced_at: Time,
    /// Whether the view lease was valid at the last event.
    has_view_lease: bool,
    /// Plan of the graceful stop, once it has begun.
    stop: Option<stop::Plan>,
    stop_limits: stop::Limits,
    /// Whether the grace period of a graceful stop is over, so that the daemon stops once no
    /// request is pending.
    grace_period_over: bool,
}

impl State {
    /// Creates the state of a daemon that has just started; `boot` must differ between any two
    /// starts.
    pub fn new(quorum: quorum::State, boot: u64) -> Self {
        let id = quorum.id().clone();
        Self {
            proposals: Proposals::new(id.clone(), boot),
            quorum,
            replica: Replica::default(),
            route: route::State::new(id.clone(), boot, route::Policy::default()),
            id,
            renewed_instances: BTreeSet::new(),
            leases: Leases::default(),
            controller: Controller::default(),
            log_clock_advanced_at: Duration::ZERO,
            has_view_lease: false,
            stop: None,
            stop_limits: stop::Limits {
                serving: Duration::ZERO,
                draining: Duration::ZERO,
                grace: None,
            },
            grace_period_over: false,
        }
    }

    /// Sets the durations of a graceful stop.
    pub fn with_stop_limits(self, stop_limits: stop::Limits) -> Self {
        Self { stop_limits, ..self }
    }

    /// Plan of the graceful stop; `None` until it begins.
    pub fn stop_plan(&self) -> Option<stop::Plan> {
        self.stop
    }

    /// Expiry of the view lease, until which the daemon may act on its configuration.
    pub fn view_lease_end(&self) -> Time {
        self.quorum.view_lease_end()
    }

    /// Handles one event, and returns the effects to carry out.
    pub fn reduce(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_view_lease(now, &mut effects);
        match event {
            Event::Start => self.start(now, &mut effects),
            Event::Timer(timer) => self.on_timer(now, timer, &mut effects),
            Event::Peer { from, message } => self.on_peer_message(now, from, message, &mut effects),
            Event::Synced { term, index } => {
                self.step_quorum(now, quorum::Event::Synced { term, index }, &mut effects);
            }
            Event::Operator { ticket, call } => self.on_operator(now, ticket, call, &mut effects),
            Event::Upstream { ticket, call } => self.on_upstream(now, ticket, call, &mut effects),
            Event::Platform(report) => self.on_platform_report(now, report, &mut effects),
            Event::Route(event) => self.step_route(now, event, &mut effects),
            Event::Stop => self.stop(now, &mut effects),
        }
        self.update_view_lease(now, &mut effects);
        if self.grace_period_over && self.route.pending() == 0 {
            effects.push(Effect::Stopped);
        }
        effects
    }

    fn start(&mut self, now: Time, effects: &mut Vec<Effect>) {
        effects.push(Effect::Health(false));
        effects.push(Effect::Subscribe { timer: Timer::Beat, after: PERIODIC_INTERVAL });
        self.step_quorum(now, quorum::Event::Start, effects);
    }

    /// Starts a graceful stop. The health check fails first, so that the load balancer has time to
    /// send callers elsewhere, and every request gets a deadline before the process is killed.
    fn stop(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.stop.is_some() {
            return;
        }
        let plan = stop::Plan::new(now, self.stop_limits);
        self.stop = Some(plan);
        effects.push(Effect::Health(false));
        effects.push(Effect::Subscribe { timer: Timer::Grace, after: plan.drains_at() - now });
        if let Some(deadline) = plan.call_deadline() {
            self.step_route(now, route::Event::Bound(deadline), effects);
        }
    }

    /// Lets request routing refuse new requests.
    fn end_grace_period(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.grace_period_over = true;
        self.step_route(now, route::Event::Stop, effects);
    }

    /// Reports the start or the expiry of the view lease to the health check and to request
    /// routing.
    fn update_view_lease(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let has_view_lease = self.quorum.has_view_lease(now);
        if has_view_lease != self.has_view_lease {
            self.has_view_lease = has_view_lease;
            effects.push(Effect::Health(has_view_lease && self.stop.is_none()));
            self.step_route(now, route::Event::View(has_view_lease), effects);
        }
    }

    fn on_timer(&mut self, now: Time, timer: Timer, effects: &mut Vec<Effect>) {
        match timer {
            Timer::Quorum(timer) => self.step_quorum(now, quorum::Event::Timer(timer), effects),
            Timer::Route(timer) => self.step_route(now, route::Event::Timer(timer), effects),
            Timer::Beat => self.run_periodic(now, effects),
            Timer::Grace => self.end_grace_period(now, effects),
        }
    }

    fn on_peer_message(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Quorum(message) => {
                self.step_quorum(now, quorum::Event::Message { from, message }, effects);
            }
            Message::Route(message) => {
                self.step_route(now, route::Event::Message { from, message }, effects);
            }
            Message::Propose(proposal) => self.append_proposal(now, &proposal, effects),
            Message::Heard(instances) => self.renew_leases(now, instances),
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
                return self.propose(now, command, Some(Waiter::Operator(ticket)), effects);
            }
            operator::Call::Maintain(order) => {
                let command = fleet::Command::Maintain(order).into();
                return self.propose(now, command, Some(Waiter::Operator(ticket)), effects);
            }
            operator::Call::Forget { request, author, instance } => {
                let command = fleet::Command::Forget { request, author, instance }.into();
                return self.propose(now, command, Some(Waiter::Operator(ticket)), effects);
            }
            operator::Call::Member(change) => self.change_member(now, change, effects),
            operator::Call::Submit { id, job } => {
                let command = place::Command::Submit { id, job: *job }.into();
                return self.propose(now, command, Some(Waiter::Operator(ticket)), effects);
            }
            operator::Call::CancelJob(id) => {
                let command = place::Command::Cancel { id }.into();
                return self.propose(now, command, Some(Waiter::Operator(ticket)), effects);
            }
            operator::Call::Job(job) => {
                let standing = self.replica.place.explain(&job);
                operator::Reply::Job { job, standing }
            }
            operator::Call::Status => operator::Reply::Status(self.status(now)),
            call => fleet_queries::reply(&self.replica.fleet, call),
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
        let waiter = Some(Waiter::Upstream(ticket));
        match call {
            upstream::Call::Announce(announcement) => {
                self.renewed_instances.insert(announcement.instance.clone());
                let command = fleet::Command::Announce(announcement).into();
                self.propose(now, command, waiter, effects);
            }
            upstream::Call::Renew { instance, incarnation } => {
                let known = self.replica.fleet.upstreams().get(&instance).is_some_and(|upstream| {
                    upstream.announcement.incarnation == incarnation
                        && upstream.presence != fleet::Presence::Lapsed
                });
                if known {
                    self.renewed_instances.insert(instance);
                }
                let reply =
                    if known { upstream::Reply::Done } else { upstream::Reply::NotAnnounced };
                effects.push(Effect::Upstream { ticket, reply });
            }
            upstream::Call::Leave { instance, incarnation } => {
                let command = fleet::Command::Leave { instance, incarnation }.into();
                self.propose(now, command, waiter, effects);
            }
        }
    }

    /// Proposes `command`; `waiter` gets its reply once the command has been applied, or has timed
    /// out.
    fn propose(
        &mut self,
        now: Time,
        command: Command,
        waiter: Option<Waiter>,
        effects: &mut Vec<Effect>,
    ) {
        let proposal = self.proposals.create(now, command, waiter);
        self.forward_proposal(now, &proposal, effects);
    }

    /// Appends `proposal` if this daemon is the leader, else sends it to the leader, if one is
    /// known.
    fn forward_proposal(&mut self, now: Time, proposal: &Proposal, effects: &mut Vec<Effect>) {
        if self.quorum.is_leader() {
            return self.append_proposal(now, proposal, effects);
        }
        if let Some(to) = self.quorum.leader().cloned() {
            effects
                .push(Effect::Send { to, message: Message::Propose(Box::new(proposal.clone())) });
        }
    }

    fn append_proposal(&mut self, now: Time, proposal: &Proposal, effects: &mut Vec<Effect>) {
        let Ok(command) = postcard::to_stdvec(proposal) else { return };
        self.step_quorum(now, quorum::Event::Propose(command), effects);
    }

    /// Passes an event to consensus, and carries out its effects.
    fn step_quorum(&mut self, now: Time, event: quorum::Event, effects: &mut Vec<Effect>) {
        for effect in self.quorum.reduce(now, event) {
            self.on_quorum_effect(now, effect, effects);
        }
    }

    /// Changes the membership; refused unless this daemon is the leader.
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
                effect => self.on_quorum_effect(now, effect, effects),
            }
        }
        reply
    }

    fn on_quorum_effect(&mut self, now: Time, effect: quorum::Effect, effects: &mut Vec<Effect>) {
        match effect {
            quorum::Effect::Persist(record) => effects.push(Effect::Persist(record)),
            quorum::Effect::Send { to, message } => {
                effects.push(Effect::Send { to, message: Message::Quorum(message) });
            }
            quorum::Effect::Subscribe { timer, after } => {
                effects.push(Effect::Subscribe { timer: timer.into(), after });
            }
            quorum::Effect::Apply { index, entry } => self.apply_entry(now, index, entry, effects),
            quorum::Effect::Snapshot { index } => self.encode_snapshot(now, index, effects),
            quorum::Effect::Install(snapshot) => self.install_snapshot(now, &snapshot, effects),
            quorum::Effect::Changed(_) => {}
            quorum::Effect::Leader(leader) => self.on_leader_change(now, leader, effects),
        }
    }

    fn on_leader_change(&mut self, now: Time, leader: Option<Name>, effects: &mut Vec<Effect>) {
        self.leases.clear();
        self.log_clock_advanced_at = now;
        let leads = self.quorum.is_leader();
        self.controller.start_leading(now, leads.then_some(&self.replica.fleet));
        if leads {
            let instances = self.replica.fleet.upstreams().keys().cloned().collect();
            self.renew_leases(now, instances);
        }
        effects.push(Effect::Leader(leader));
        for proposal in self.proposals.restart(now) {
            self.forward_proposal(now, &proposal, effects);
        }
    }

    fn apply_entry(
        &mut self,
        now: Time,
        index: Index,
        entry: quorum::Entry,
        effects: &mut Vec<Effect>,
    ) {
        if entry.command.is_empty() {
            self.replica.applied = index;
            return;
        }
        let proposal = postcard::from_bytes::<Proposal>(&entry.command);
        let proposal = proposal.expect("committed entries decode: the leader encoded them");
        let waiter = self.proposals.finish(&proposal);
        let clock = self.replica.route.claims.clock();
        let outcomes = self.replica.apply(index, proposal.command);
        if self.replica.route.claims.clock() != clock {
            self.log_clock_advanced_at = now;
        }
        self.reply_to_waiter(index, waiter, &outcomes, effects);
        for outcome in outcomes {
            self.on_outcome(now, outcome, effects);
        }
    }

    fn encode_snapshot(&mut self, now: Time, index: Index, effects: &mut Vec<Effect>) {
        let Ok(state) = postcard::to_stdvec(&self.replica) else { return };
        self.step_quorum(now, quorum::Event::Snapshot { index, state }, effects);
    }

    fn install_snapshot(
        &mut self,
        now: Time,
        snapshot: &quorum::Snapshot,
        effects: &mut Vec<Effect>,
    ) {
        let replica = postcard::from_bytes::<Replica>(&snapshot.state);
        let replica = replica.expect("snapshots decode: a daemon encoded them");
        let previous = std::mem::replace(&mut self.replica, replica);
        self.log_clock_advanced_at = now;
        for outcome in self.replica.outcomes(&previous) {
            self.on_outcome(now, outcome, effects);
        }
    }

    fn on_outcome(&mut self, now: Time, outcome: Outcome, effects: &mut Vec<Effect>) {
        match outcome {
            Outcome::Fleet(effect) => self.on_fleet_effect(now, effect, effects),
            Outcome::Place(_) => {}
            Outcome::Route(decision) => {
                self.step_route(now, route::Event::Decided(decision), effects);
            }
        }
    }

    /// Replies to the call that waits for a proposal, which was applied at `index` with `outcomes`.
    fn reply_to_waiter(
        &self,
        index: Index,
        waiter: Option<Waiter>,
        outcomes: &[Outcome],
        effects: &mut Vec<Effect>,
    ) {
        match waiter {
            Some(Waiter::Upstream(ticket)) => {
                effects.push(Effect::Upstream { ticket, reply: upstream::Reply::Done });
            }
            Some(Waiter::Operator(ticket)) => {
                let reply = outcomes.iter().find_map(|outcome| operator::Reply::to(outcome, index));
                let Some(reply) = reply else { return };
                effects.push(Effect::Operator { ticket, reply });
            }
            None => {}
        }
    }

    fn on_fleet_effect(&mut self, now: Time, effect: fleet::Effect, effects: &mut Vec<Effect>) {
        match effect {
            fleet::Effect::Verdict { .. } => {}
            fleet::Effect::Configured(config) => {
                self.step_route(now, route::Event::Configured(config), effects);
            }
            fleet::Effect::Upstream(upstream) => {
                let instance = upstream.announcement.instance;
                if upstream.presence == fleet::Presence::Serving {
                    self.renew_leases(now, vec![instance]);
                } else {
                    self.leases.remove(&instance);
                }
            }
            fleet::Effect::Serving(announcement) => {
                self.step_route(now, route::Event::Serving(announcement), effects);
            }
            fleet::Effect::NotServing(instance) => {
                self.step_route(now, route::Event::NotServing(instance), effects);
            }
        }
    }

    /// Passes an event to request routing, and carries out its effects.
    fn step_route(&mut self, now: Time, event: route::Event, effects: &mut Vec<Effect>) {
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

    fn run_periodic(&mut self, now: Time, effects: &mut Vec<Effect>) {
        effects.push(Effect::Subscribe { timer: Timer::Beat, after: PERIODIC_INTERVAL });
        self.forward_renewals(now, effects);
        self.expire_leases(now, effects);
        self.report_idle_drains(now, effects);
        self.run_controller(now, effects);
        self.advance_log_clock(now, effects);
        self.update_roster(now, effects);
        self.time_out_proposals(now, effects);
        for proposal in self.proposals.take_due(now) {
            self.forward_proposal(now, &proposal, effects);
        }
    }

    /// Reports to the leader the instances that have renewed their lease at this daemon.
    fn forward_renewals(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let instances: Vec<_> = std::mem::take(&mut self.renewed_instances).into_iter().collect();
        if instances.is_empty() {
            return;
        }
        if self.quorum.is_leader() {
            return self.renew_leases(now, instances);
        }
        if let Some(to) = self.quorum.leader().cloned() {
            effects.push(Effect::Send { to, message: Message::Heard(instances) });
        }
    }

    /// Reports to the leader for which drains this daemon has no requests in flight.
    fn report_idle_drains(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let draining = controller::draining_instances(&self.replica.fleet);
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

    /// On the leader, proposes the commands of the controller and makes its calls to the platform.
    /// Waits until the last steps of the planner have been applied.
    fn run_controller(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if !self.quorum.is_leader() || self.proposals.has_pending_step() {
            return;
        }
        let members = self.quorum.members().iter().map(|(name, _)| name.clone()).collect();
        for command in self.controller.commands(now, &self.replica.fleet, &members) {
            self.propose(now, command.into(), None, effects);
        }
        let calls = self.controller.platform_calls(now, &self.replica.fleet);
        effects.extend(calls.into_iter().map(Effect::Platform));
    }

    fn on_platform_report(
        &mut self,
        now: Time,
        report: platform::Report,
        effects: &mut Vec<Effect>,
    ) {
        let command = self.controller.on_platform_report(now, &self.replica.fleet, report);
        if let Some(command) = command.filter(|_| self.quorum.is_leader()) {
            self.propose(now, command.into(), None, effects);
        }
    }

    /// Renews the leases of `instances`, if this daemon is the leader.
    fn renew_leases(&mut self, now: Time, instances: Vec<Name>) {
        if !self.quorum.is_leader() {
            return;
        }
        for instance in instances {
            self.leases.renew(now, instance);
        }
    }

    /// Proposes the lapse of instances whose lease has expired.
    fn expire_leases(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for instance in self.leases.take_expired(now) {
            let Some(upstream) = self.replica.fleet.upstreams().get(&instance) else { continue };
            let incarnation = upstream.announcement.incarnation;
            let command = fleet::Command::Lapse { instance, incarnation }.into();
            self.propose(now, command, None, effects);
        }
    }

    /// Advances the log clock if there are claims that may expire.
    fn advance_log_clock(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let passed = now - self.log_clock_advanced_at;
        let claims = &self.replica.route.claims;
        if !self.quorum.is_leader() || claims.is_empty() || passed < LOG_TICK_INTERVAL {
            return;
        }
        let from = claims.clock();
        let command = route::Command::Tick { from, to: from + passed };
        self.propose(now, command.into(), None, effects);
    }

    /// Maintains the roster: this daemon joins it, and the leader removes daemons without a view
    /// lease.
    fn update_roster(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let roster = self.replica.route.roster.clone();
        let (daemon, boot) = (self.id.clone(), self.proposals.boot());
        if self.has_view_lease && !roster.contains(&daemon, boot) {
            let command = route::Command::Join { daemon, boot };
            self.propose(now, command.into(), None, effects);
        }
        for daemon in self.quorum.members_without_view_lease(now) {
            let Some(boot) = roster.daemons().get(&daemon).copied() else { continue };
            let command = route::Command::Part { daemon, boot };
            self.propose(now, command.into(), None, effects);
        }
    }

    /// Tells calls whose proposal has timed out that the outcome is unknown.
    fn time_out_proposals(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for waiter in self.proposals.take_timed_out(now) {
            effects.push(match waiter {
                Waiter::Operator(ticket) => {
                    Effect::Operator { ticket, reply: operator::Reply::Unknown }
                }
                Waiter::Upstream(ticket) => {
                    Effect::Upstream { ticket, reply: upstream::Reply::Unknown }
                }
            });
        }
    }
}
