use super::*;

/// State of a member.
#[derive(Debug, Clone)]
pub struct State {
    pub(crate) id: Name,
    /// Differs between any two starts.
    pub(crate) boot: u64,
    pub(crate) disk: Option<DiskId>,
    /// Members according to the settings, until the log is founded.
    pub(crate) founders: Members,
    /// Members according to the log, committed or not.
    pub(crate) members: Members,
    /// Index of the entry that made them so.
    pub(crate) members_index: Index,
    /// Until when a member that has left may hold a view lease.
    pub(crate) hold_until: Time,
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
    pub(crate) view_lease_end: Time,
    pub(crate) rng: ChaCha8Rng,
}

impl State {
    /// A member that has just started with what its disk held; `boot` differs between any two
    /// starts.
    ///
    /// `founders` are the members that found the log; later the log says who the members are.
    pub fn new(
        id: Name,
        founders: BTreeMap<Name, Role>,
        restored: PersistentState,
        boot: u64,
    ) -> Self {
        let PersistentState { disk, term, vote, snapshot, entries } = restored;
        let log = Log::new(snapshot.as_ref(), entries);
        let founders = Members::from(founders);
        let (members_index, members) = log.members().unwrap_or((0, &founders));
        Self {
            id,
            boot,
            disk,
            members: members.clone(),
            members_index,
            hold_until: Time::ZERO,
            founders,
            term,
            vote,
            synced: log.last_index(),
            commit: log.offset(),
            applied: log.offset(),
            log,
            limits: Limits::default(),
            snapshot,
            incoming: None,
            applied_bytes: 0,
            standing: Standing::Follower,
            leader: None,
            forced: 0,
            heard: Time::ZERO,
            view_lease_end: Time::ZERO,
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
            Event::Change(change) => self.on_change(now, change, &mut effects),
            Event::Yield => self.on_yield(now, &mut effects),
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

    /// Every member, as the log says.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// Members whose view lease has surely run out, as far as a leader knows.
    pub fn members_without_view(&self, now: Time) -> Vec<Name> {
        let Standing::Leader { progress, .. } = &self.standing else { return Vec::new() };
        let lapsed = progress.iter().filter(|(_, progress)| progress.granted_until <= now);
        lapsed.map(|(member, _)| member.clone()).collect()
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.standing, Standing::Leader { .. })
    }

    /// Whether this member leads, and nobody else can lead at this moment.
    pub fn has_leader_lease(&self, now: Time) -> bool {
        self.may_grant(now)
    }

    /// Index of the last entry in the log, committed or not.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Founds a log with this member as the only voter.
    pub fn bootstrap(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !self.members.is_bootstrapped() && self.log.last_index() == 0 {
            self.founders = Members::from(BTreeMap::from([(self.id.clone(), Role::Voter)]));
            self.members = self.founders.clone();
            self.on_election(now, &mut effects);
        }
        effects
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
    pub fn has_view_lease(&self, now: Time) -> bool {
        now < self.view_lease_end
    }

    /// Until when this member may act on what it has applied.
    pub fn view_lease_end(&self) -> Time {
        self.view_lease_end
    }

    /// What the leader knows of the other members; empty elsewhere.
    pub fn progress(&self) -> Vec<(Name, Progress)> {
        let Standing::Leader { progress, .. } = &self.standing else { return Vec::new() };
        progress.iter().map(|(name, progress)| (name.clone(), progress.clone())).collect()
    }

    pub(crate) fn start(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.heard = now;
        self.hold_until = now + Timing::VIEW_LEASE + Timing::DRIFT;
        effects.extend(self.snapshot.clone().map(Effect::Install));
        self.await_leader(effects);
    }

    pub(crate) fn await_leader(&mut self, effects: &mut Vec<Effect>) {
        if self.stands() {
            let range =
                Timing::ELECTION_MIN.as_millis() as u64..Timing::ELECTION_MAX.as_millis() as u64;
            let after = Duration::from_millis(self.rng.random_range(range));
            effects.push(Effect::Subscribe { timer: Timer::Election, after });
        }
    }

    pub(crate) fn stamp(&self, now: Time) -> Stamp {
        Stamp { boot: self.boot, at: now }
    }

    pub(crate) fn others(&self) -> Vec<Name> {
        let names = self.members.iter().map(|(name, _)| name);
        names.filter(|name| **name != self.id).cloned().collect()
    }

    pub(crate) fn voters_besides(&self) -> Vec<Name> {
        self.members.voters().filter(|name| **name != self.id).cloned().collect()
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
        match message {
            Message::Ask { .. } => self.on_ask(now, from, message, effects),
            Message::Yield { term } => self.on_yielded(now, term, effects),
            Message::Vote { .. } => self.on_vote(now, from, message, effects),
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
