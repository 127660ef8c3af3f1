use super::*;

/// State of a member.
#[derive(Debug, Clone)]
pub struct State {
    pub(crate) id: Name,
    /// Differs between any two starts.
    pub(crate) boot: u64,
    pub(crate) members: BTreeMap<Name, Role>,
    pub(crate) term: Term,
    pub(crate) vote: Option<Name>,
    pub(crate) log: Log,
    pub(crate) limits: Limits,
    pub(crate) snapshot: Option<Snapshot>,
    /// Part of a snapshot that a leader sends.
    pub(crate) incoming: Option<Snapshot>,
    /// Bytes applied since the last snapshot.
    pub(crate) applied_bytes: usize,
    pub(crate) standing: Standing,
    pub(crate) leader: Option<Name>,
    /// Last index on this member's disk.
    pub(crate) synced: Index,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) forced: Index,
    /// When a leader was last heard, or the process started.
    pub(crate) heard: Time,
    pub(crate) view_until: Time,
    pub(crate) rng: ChaCha8Rng,
}

impl State {
    /// A member that has just started with what its disk held; `boot` differs between any two
    /// starts.
    pub fn new(id: Name, members: BTreeMap<Name, Role>, restored: Restored, boot: u64) -> Self {
        let Restored { term, vote, snapshot, entries } = restored;
        let (offset, offset_term) =
            snapshot.as_ref().map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let log = Log::new(offset, offset_term, entries);
        Self {
            id,
            boot,
            members,
            term,
            vote,
            synced: log.last_index(),
            log,
            limits: Limits::default(),
            snapshot,
            incoming: None,
            applied_bytes: 0,
            standing: Standing::Follower,
            leader: None,
            commit: offset,
            applied: offset,
            forced: 0,
            heard: Time::ZERO,
            view_until: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(boot),
        }
    }

    /// The same member with other limits.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Takes one event, and says what is to be done.
    pub fn reduce(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let leader = self.leader.clone();
        match event {
            Event::Start => self.start(now, &mut effects),
            Event::Timer(Timer::Election) => self.on_election(now, &mut effects),
            Event::Timer(Timer::Heartbeat) => self.on_heartbeat(now, &mut effects),
            Event::Message { from, message } => self.on_message(now, from, message, &mut effects),
            Event::Propose(command) => self.on_propose(now, command, &mut effects),
            Event::Synced { term, index } => self.on_synced(now, term, index, &mut effects),
            Event::Snapshot { index, state } => self.on_snapshot(index, state, &mut effects),
        }
        if self.leader != leader {
            effects.push(Effect::Leader(self.leader.clone()));
        }
        effects
    }

    /// Name of this member.
    pub fn id(&self) -> &Name {
        &self.id
    }

    /// Every member with its role.
    pub fn members(&self) -> &BTreeMap<Name, Role> {
        &self.members
    }

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// Members whose view lease has surely run out, as far as a leader knows.
    pub fn without_view(&self, now: Time) -> Vec<Name> {
        let Standing::Leader { progress, .. } = &self.standing else { return Vec::new() };
        let lapsed = progress.iter().filter(|(_, progress)| progress.granted_until <= now);
        lapsed.map(|(member, _)| member.clone()).collect()
    }

    /// Whether this member leads.
    pub fn leads(&self) -> bool {
        matches!(self.standing, Standing::Leader { .. })
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Highest index known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Highest index that is in force on every member, or whose view lease has lapsed.
    pub fn forced(&self) -> Index {
        self.forced
    }

    /// Whether this member may act on the configuration it has.
    pub fn has_view(&self, now: Time) -> bool {
        now < self.view_until
    }

    /// Until when this member may act on what it has applied.
    pub fn view_until(&self) -> Time {
        self.view_until
    }

    /// What the leader knows of the other members; empty elsewhere.
    pub fn progress(&self) -> Vec<(Name, Progress)> {
        let Standing::Leader { progress, .. } = &self.standing else { return Vec::new() };
        progress.iter().map(|(name, progress)| (name.clone(), progress.clone())).collect()
    }

    pub(crate) fn start(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.heard = now;
        effects.extend(self.snapshot.clone().map(Effect::Install));
        self.await_leader(effects);
    }

    pub(crate) fn await_leader(&mut self, effects: &mut Vec<Effect>) {
        if self.is_voter(&self.id) {
            let range =
                Timing::ELECTION_MIN.as_millis() as u64..Timing::ELECTION_MAX.as_millis() as u64;
            let after = Duration::from_millis(self.rng.random_range(range));
            effects.push(Effect::Subscribe { timer: Timer::Election, after });
        }
    }

    pub(crate) fn stamp(&self, now: Time) -> Stamp {
        Stamp { boot: self.boot, at: now }
    }

    pub(crate) fn is_voter(&self, name: &Name) -> bool {
        self.members.get(name) == Some(&Role::Voter)
    }

    pub(crate) fn majority(&self) -> usize {
        self.members.values().filter(|role| **role == Role::Voter).count() / 2 + 1
    }

    pub(crate) fn others(&self) -> Vec<Name> {
        self.members.keys().filter(|name| **name != self.id).cloned().collect()
    }

    pub(crate) fn voters_besides(&self) -> Vec<Name> {
        self.others().into_iter().filter(|name| self.is_voter(name)).collect()
    }

    pub(crate) fn persist_vote(&self, effects: &mut Vec<Effect>) {
        let record = Record::Vote { term: self.term, vote: self.vote.clone() };
        effects.push(Effect::Persist(record));
    }

    pub(crate) fn step_down(&mut self, leader: Option<Name>, effects: &mut Vec<Effect>) {
        self.standing = Standing::Follower;
        self.leader = leader;
        self.await_leader(effects);
    }

    pub(crate) fn on_message(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        if !self.members.contains_key(&from) {
            return;
        }
        match message {
            Message::Ask { term, pre, last_index, last_term } => {
                self.on_ask(now, from, term, pre, (last_term, last_index), effects);
            }
            Message::Vote { term, pre, granted } => {
                self.on_vote(now, from, term, pre, granted, effects);
            }
            Message::Append { term, .. } | Message::Chunk { term, .. } if term < self.term => {
                let message = Message::Refused { term: self.term };
                effects.push(Effect::Send { to: from, message });
            }
            Message::Refused { term } if term > self.term => self.enter(term, None, effects),
            Message::Refused { .. } => {}
            Message::Chunk { .. } => self.on_chunk(now, from, message, effects),
            Message::Received { .. } => self.on_received(now, from, message, effects),
            Message::Append { .. } => self.on_append(now, from, message, effects),
            Message::Appended { .. } => self.on_appended(now, from, message, effects),
        }
    }

    /// Follows a higher term.
    pub(crate) fn enter(&mut self, term: Term, leader: Option<Name>, effects: &mut Vec<Effect>) {
        self.term = term;
        self.vote = None;
        self.persist_vote(effects);
        self.step_down(leader, effects);
    }
}
