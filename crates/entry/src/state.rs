use super::*;

/// State of the daemon.
pub(crate) struct State {
    pub(crate) id: Name,
    pub(crate) seeds: Vec<Name>,
    /// Whether the fleet starts for the first time, with empty disks.
    pub(crate) founds: bool,
    pub(crate) founding: Founding,
    pub(crate) disk: Option<quorum::DiskId>,
    /// Agreement; `None` for a daemon without a disk.
    pub(crate) quorum: Option<quorum::State>,
    pub(crate) membership: Membership,
    /// Whether enough daemons vote for anything to be accepted, in a fleet that has just begun.
    pub(crate) settled: bool,
    pub(crate) table: Table,
    pub(crate) scheduler: Scheduler,
    /// Term for which the owner was told that it leads.
    pub(crate) owns: Option<quorum::Term>,
    /// Entry with the owner's batch.
    pub(crate) batch: Option<Index>,
    pub(crate) asks: Asks,
    pub(crate) helpers: Helpers,
    /// Who waits for an entry of the log.
    pub(crate) commits: BTreeMap<Index, Origin>,
    pub(crate) ready: bool,
    pub(crate) stopping: bool,
    pub(crate) grace: Duration,
    pinged: Time,
}

/// Between two looks at orders, leases and calls.
const TICK: Duration = Duration::from_millis(20);
/// Between two looks at peers and membership.
const BEAT: Duration = Duration::from_millis(200);
/// Between two questions about who leads.
const PING: Duration = Duration::from_millis(300);
/// Between two tries to open the data folder.
const DISK_RETRY: Duration = Duration::from_millis(500);

impl State {
    pub(crate) fn new(
        id: Name,
        seeds: Vec<Name>,
        founds: bool,
        scheduler: Scheduler,
        grace: Duration,
    ) -> Self {
        let asks = Asks::new(&seeds);
        Self {
            id,
            seeds,
            founds,
            founding: Founding::default(),
            disk: None,
            quorum: None,
            membership: Membership::default(),
            settled: !founds,
            table: Table::default(),
            scheduler,
            owns: None,
            batch: None,
            asks,
            helpers: Helpers::default(),
            commits: BTreeMap::new(),
            ready: false,
            stopping: false,
            grace,
            pinged: Time::ZERO,
        }
    }

    /// Takes one event, and says what is to be done.
    pub(crate) fn reduce(&mut self, now: Time, unix: job::UnixMs, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Start => {
                effects.push(Effect::Subscribe { timer: Timer::Tick, after: TICK });
                effects.push(Effect::Subscribe { timer: Timer::Beat, after: BEAT / 4 });
                self.agree(now, unix, quorum::Event::Start, &mut effects);
            }
            Event::Timer(Timer::Quorum(timer)) => {
                self.agree(now, unix, quorum::Event::Timer(timer), &mut effects);
            }
            Event::Timer(Timer::Tick) => self.tick(now, unix, &mut effects),
            Event::Timer(Timer::Beat) => self.beat(now, unix, &mut effects),
            Event::Timer(Timer::Grace) => effects.push(Effect::Stopped),
            Event::Peer { from, message } => {
                self.on_peer(now, unix, from, message, &mut effects);
            }
            Event::Synced { term, index } => {
                self.agree(now, unix, quorum::Event::Synced { term, index }, &mut effects);
            }
            Event::Call { ticket, call, patience } => {
                self.asks.insert(ticket, call, now + patience);
                self.pursue(now, unix, ticket, &mut effects);
            }
            Event::InstanceAnswered { id, result } => {
                self.own(now, unix, job::Event::InstanceAnswered { id, result }, &mut effects);
            }
            Event::PlatformAnswered { id, result } => {
                self.own(now, unix, job::Event::PlatformAnswered { id, result }, &mut effects);
            }
            Event::AdmissionAnswered { id, result, leader } => {
                self.on_decided(now, unix, id, result, leader, &mut effects);
            }
            Event::Timer(Timer::Disk) => effects.push(Effect::OpenDisk),
            Event::DiskLost => self.lose_disk(now, unix, &mut effects),
            Event::DiskFound { restored, boot } => {
                self.find_disk(now, unix, *restored, boot, &mut effects);
            }
            Event::Stop => self.stop(&mut effects),
        }
        self.look_at_leadership(now, unix, &mut effects);
        effects
    }

    pub(crate) fn leads(&self) -> bool {
        self.owns.is_some()
    }

    pub(crate) fn governs(&self, now: Time) -> bool {
        self.settled && self.quorum.as_ref().is_some_and(|quorum| quorum.has_leader_lease(now))
    }

    fn stop(&mut self, effects: &mut Vec<Effect>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        effects.push(Effect::Ready(false));
        effects.push(Effect::Subscribe { timer: Timer::Grace, after: self.grace });
    }

    /// Takes no part in the agreement any more. What was not durable is as good as never received, so
    /// that the next try begins with what the folder holds, as after a restart.
    fn lose_disk(&mut self, now: Time, unix: job::UnixMs, effects: &mut Vec<Effect>) {
        self.quorum = None;
        self.disk = None;
        self.look_at_leadership(now, unix, effects);
        self.table = Table::default();
        effects.push(Effect::Subscribe { timer: Timer::Disk, after: DISK_RETRY });
    }

    fn find_disk(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        restored: quorum::PersistentState,
        boot: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.disk = restored.disk;
        let quorum = quorum::State::new(self.id.clone(), BTreeMap::new(), restored, boot);
        self.asks.known.extend(quorum.members().iter().map(|(name, _)| name.clone()));
        self.quorum = Some(quorum);
        self.agree(now, unix, quorum::Event::Start, effects);
    }

    fn tick(&mut self, now: Time, unix: job::UnixMs, effects: &mut Vec<Effect>) {
        effects.push(Effect::Subscribe { timer: Timer::Tick, after: TICK });
        if self.governs(now) {
            self.own(now, unix, job::Event::Tick, effects);
        }
        for ticket in self.asks.tickets() {
            self.pursue(now, unix, ticket, effects);
        }
        for (ticket, call, answer) in self.asks.give_up(now) {
            let why = format!("{answer:?}, leader {:?}", self.asks.leader);
            effects.push(journal::line("call-given-up", call.subject(), &why));
            effects.push(Effect::Answer { ticket, answer });
        }
    }

    fn beat(&mut self, now: Time, unix: job::UnixMs, effects: &mut Vec<Effect>) {
        effects.push(Effect::Subscribe { timer: Timer::Beat, after: BEAT });
        self.seek_membership(now, effects);
        self.arrange_members(now, unix, effects);
        self.ping(now, effects);
        let serves = self.governs(now) && self.table.config.is_some();
        if serves {
            self.asks.served = Some(now);
            let askers = self.helpers.count(now);
            self.own(now, unix, job::Event::MaxQueries(askers), effects);
        }
        let ready = self.asks.served.is_some_and(|at| now < at + Asks::UNLED) && !self.stopping;
        if ready != self.ready {
            self.ready = ready;
            effects.push(Effect::Ready(ready));
        }
    }

    fn ping(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.pinged + PING || self.governs(now) {
            return;
        }
        self.pinged = now;
        if let Some(to) = self.asks.whom(&self.id) {
            effects.push(Effect::Send { to, message: Message::Ping });
        }
        let unheard = self.asks.served.is_none_or(|at| now > at + Asks::UNLED / 2);
        if unheard && self.asks.leader.is_some() {
            // The leader may be gone: somebody else has to be asked as well.
            self.asks.leader = self.quorum.as_ref().and_then(|quorum| quorum.leader().cloned());
        }
    }

    /// Offers to found the fleet, or asks to join it.
    fn seek_membership(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(quorum) = self.quorum.as_ref().filter(|_| self.disk.is_some()) else { return };
        if quorum.leader().is_some() || quorum.is_leader() {
            return;
        }
        let empty = quorum.last_index() == 0 && !quorum.members().is_bootstrapped();
        if self.founds && empty {
            for to in self.seeds.clone() {
                if to == self.id {
                    self.on_offer(now, self.id.clone(), effects);
                } else {
                    effects.push(Effect::Send { to, message: Message::Found });
                }
            }
        }
        let others = self.asks.known.iter().filter(|name| **name != self.id).cloned();
        effects.extend(others.map(|to| Effect::Send { to, message: Message::Join }));
    }

    fn on_offer(&mut self, now: Time, from: Name, effects: &mut Vec<Effect>) {
        self.asks.known.insert(from.clone());
        if !self.founds || !self.seeds.contains(&self.id) {
            return;
        }
        let Some(choice) = self.founding.offer(now, from.clone()) else { return };
        if from == self.id {
            self.on_choice(now, self.id.clone(), choice, effects);
        } else {
            effects.push(Effect::Send { to: from, message: Message::Founder(choice) });
        }
    }

    fn on_choice(&mut self, now: Time, from: Name, choice: Name, effects: &mut Vec<Effect>) {
        let chosen = self.founding.vote(&self.seeds, from, &choice, &self.id);
        let Some(quorum) = self.quorum.as_mut().filter(|_| chosen && self.founds) else { return };
        let founded = quorum.bootstrap(now);
        if !founded.is_empty() {
            effects.push(journal::line("founding", self.id.to_string(), "chosen by most seeds"));
        }
        for effect in founded {
            self.on_quorum(now, 0, effect, effects);
        }
    }

    fn arrange_members(&mut self, now: Time, unix: job::UnixMs, effects: &mut Vec<Effect>) {
        let Some(quorum) = self.quorum.as_mut().filter(|quorum| quorum.has_leader_lease(now))
        else {
            return;
        };
        self.settled = self.settled || self.membership.is_settled(now, quorum, self.seeds.len());
        let Some(change) = self.membership.change(now, quorum) else { return };
        let about = change.name().to_string();
        effects.push(journal::line("member-change", about, &format!("{change:?}")));
        self.agree(now, unix, quorum::Event::Change(change), effects);
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
                self.agree(now, unix, event, effects);
            }
            Message::Found => self.on_offer(now, from, effects),
            Message::Founder(choice) => self.on_choice(now, from, choice, effects),
            Message::Join => {
                if self.quorum.as_ref().is_some_and(|quorum| quorum.has_leader_lease(now)) {
                    self.membership.join(now, from);
                }
            }
            Message::Ask { ticket, call } => {
                if self.governs(now) {
                    self.serve(now, unix, Origin::Peer(from, ticket), call, effects);
                } else {
                    let leader = self.leader(now);
                    let message = Message::Elsewhere { ticket, leader };
                    effects.push(Effect::Send { to: from, message });
                }
            }
            Message::Answer { ticket, answer } => {
                self.asks.heard = Some(now);
                if self.asks.take(ticket).is_some() {
                    effects.push(Effect::Answer { ticket, answer });
                }
            }
            Message::Elsewhere { ticket, leader } => {
                self.asks.elsewhere(ticket, &from, leader);
                if self.asks.leader.is_some() {
                    self.pursue(now, unix, ticket, effects);
                }
            }
            Message::AdmissionQuery { id, query } => {
                effects.push(Effect::QueryAdmission { id, query, leader: Some(from) });
            }
            Message::Decided { id, result } => {
                self.on_decided(now, unix, id, result, None, effects);
            }
            Message::Ping => {
                self.helpers.hear(now, &self.id, &from);
                let members = match &self.quorum {
                    Some(q) => q.members().iter().map(|(name, _)| name.clone()).collect(),
                    None => self.asks.members.iter().cloned().collect(),
                };
                let serves = self.governs(now) && self.table.config.is_some();
                let message = Message::Pong { leader: self.leader(now), members, serves };
                effects.push(Effect::Send { to: from, message });
            }
            Message::Pong { leader, members, serves } => {
                self.asks.heard = Some(now);
                self.asks.known.extend(members.iter().cloned());
                if !members.is_empty() {
                    self.asks.members = members.into_iter().collect();
                }
                self.asks.known.extend(leader.clone());
                if serves {
                    self.asks.leader = Some(from);
                    self.asks.served = Some(now);
                } else if leader.as_ref() != Some(&from) {
                    self.asks.leader = leader;
                }
            }
            Message::Heard(announcement) => {
                self.own(now, unix, job::Event::Announced(announcement), effects);
            }
        }
    }

    /// Takes the answer to a question, or passes it on to the leader that wanted it asked.
    fn on_decided(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        id: job::CallId,
        result: job::AdmissionResult,
        leader: Option<Name>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(to) = leader {
            return effects.push(Effect::Send { to, message: Message::Decided { id, result } });
        }
        self.helpers.end(id);
        self.own(now, unix, job::Event::AdmissionAnswered { id, result }, effects);
    }

    pub(crate) fn leader(&self, now: Time) -> Option<Name> {
        match &self.quorum {
            Some(quorum) => quorum.leader().cloned(),
            // Word that is passed on for long would lead others to a daemon that leads no longer.
            None => self.asks.present_leader(now),
        }
    }

    pub(crate) fn agree(
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
                // A leader counts its own entries only once they are durable, so that others may
                // have them earlier.
                let early = matches!(
                    message,
                    quorum::Message::Append { .. } | quorum::Message::Chunk { .. }
                );
                let message = Message::Quorum(message);
                effects.push(if early {
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
                    self.agree(now, unix, quorum::Event::Snapshot { index, state }, effects);
                }
            }
            quorum::Effect::Install(snapshot) => {
                let table = postcard::from_bytes(&snapshot.state);
                self.table = table.expect("snapshots decode: a voter of this version encoded them");
            }
            quorum::Effect::Changed(Ok(_)) => {}
            quorum::Effect::Changed(Err(refusal)) => {
                let why = format!("{refusal:?}");
                effects.push(journal::line("member-unchanged", self.id.to_string(), &why));
            }
            quorum::Effect::Leader(leader) => {
                if let Some(leader) = &leader {
                    self.asks.leader = Some(leader.clone());
                }
                let about = leader.as_deref().unwrap_or("none").to_string();
                effects.push(journal::line("leader-changed", about, "agreement"));
            }
        }
    }

    /// Tells the owner when it begins and ends to lead, and whoever waits when it ends.
    fn look_at_leadership(&mut self, now: Time, unix: job::UnixMs, effects: &mut Vec<Effect>) {
        if self.stopping && self.quorum.as_ref().is_some_and(|quorum| quorum.is_leader()) {
            // A successor at once, in place of an election once the others miss this leader.
            self.agree(now, unix, quorum::Event::Yield, effects);
        }
        let quorum = self.quorum.as_ref();
        let leads = quorum.is_some_and(|quorum| quorum.is_leader());
        let governs = quorum.is_some_and(|quorum| quorum.has_leader_lease(now));
        let term = quorum.map_or(0, |quorum| quorum.term());
        if self.owns.is_some() && (!leads || self.owns != Some(term)) {
            self.owns = None;
            self.batch = None;
            self.own(now, unix, job::Event::Resign, effects);
            for (_, origin) in std::mem::take(&mut self.commits) {
                self.answer(origin, Answer::Unknown, effects);
            }
            effects.push(journal::line("resigned", self.id.to_string(), "leads no longer"));
        }
        if self.owns.is_none() && leads && governs && self.settled {
            self.owns = Some(term);
            effects.push(journal::line("owns", self.id.to_string(), &format!("epoch {term}")));
            self.own(now, unix, job::Event::Lead { epoch: term }, effects);
        }
    }
}
