use super::*;

/// Consensus state of a member.
#[derive(Debug, Clone)]
pub struct State {
    pub(crate) id: Name,
    /// Random number that identifies this start of the process.
    pub(crate) boot: u64,
    pub(crate) disk: Option<DiskId>,
    /// Membership from the settings, used until the cluster is bootstrapped.
    pub(crate) initial_members: Members,
    /// Latest membership in the log, committed or not.
    pub(crate) members: Members,
    /// Index of the entry that set `members`.
    pub(crate) members_entry_index: Index,
    /// Time until which a removed member may still hold a view lease; also set at start, since
    /// members may have been removed before.
    pub(crate) removed_leases_end: Time,
    pub(crate) term: Term,
    pub(crate) vote: Option<Name>,
    pub(crate) log: Log,
    pub(crate) limits: Limits,
    /// Latest snapshot, which is sent to members that need compacted entries.
    pub(crate) snapshot: Option<Snapshot>,
    /// Incomplete snapshot that is being received from the leader.
    pub(crate) incoming: Option<Snapshot>,
    /// Bytes of commands applied since the last snapshot.
    pub(crate) applied_bytes: usize,
    pub(crate) election: ElectionState,
    pub(crate) leader: Option<Name>,
    /// Last log index that is durable on this member.
    pub(crate) synced_index: Index,
    pub(crate) commit_index: Index,
    pub(crate) applied_index: Index,
    /// Highest index known to be in force; see [`State::forced`].
    pub(crate) forced: Index,
    /// Time of the last message from a leader; also set when the process starts, and when this
    /// member becomes leader or transfers leadership.
    pub(crate) last_leader_contact: Time,
    pub(crate) view_lease_end: Time,
    /// Expiry of the leader lease as of the last event; see [`State::has_leader_lease`].
    leader_lease_end: Time,
    pub(crate) rng: ChaCha8Rng,
}

impl State {
    /// Term of the first entry of a log that [`State::found`] starts. Nobody leads in it.
    const FOUNDING_TERM: Term = 1;

    /// Creates the state of a member that has just started with `restored` from its disk. `boot`
    /// must differ between any two starts; it also seeds the random election timeouts.
    ///
    /// `initial_members` bootstrap the cluster; afterwards the membership in the log applies.
    pub fn new(
        id: Name,
        initial_members: BTreeMap<Name, Role>,
        restored: PersistentState,
        boot: u64,
    ) -> Self {
        let PersistentState { disk, term, vote, snapshot, entries, .. } = restored;
        let log = Log::new(snapshot.as_ref(), entries);
        let initial_members = Members::from(initial_members);
        let (members_entry_index, members) = log.members().unwrap_or((0, &initial_members));
        Self {
            id,
            boot,
            disk,
            members: members.clone(),
            members_entry_index,
            removed_leases_end: Time::ZERO,
            initial_members,
            term,
            vote,
            synced_index: log.last_index(),
            commit_index: log.offset(),
            applied_index: log.offset(),
            log,
            limits: Limits::default(),
            snapshot,
            incoming: None,
            applied_bytes: 0,
            election: ElectionState::Follower,
            leader: None,
            forced: 0,
            last_leader_contact: Time::ZERO,
            view_lease_end: Time::ZERO,
            leader_lease_end: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(boot),
        }
    }

    /// Replaces the default limits.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Handles one event, and returns the effects to carry out.
    pub fn reduce(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let leader = self.leader.clone();
        match event {
            Event::Start => self.start(now, &mut effects),
            Event::Timer(Timer::Election) => self.on_election_timer(now, &mut effects),
            Event::Timer(Timer::Heartbeat) => self.on_heartbeat_timer(now, &mut effects),
            Event::Message { from, message } => self.on_message(now, from, message, &mut effects),
            Event::Propose(command) => self.on_propose(now, command, &mut effects),
            Event::Change(change) => self.on_change(now, change, &mut effects),
            Event::Yield => self.transfer_leadership(now, &mut effects),
            Event::Synced { term, index } => self.on_synced(now, term, index, &mut effects),
            Event::Snapshot { index, state } => self.on_snapshot(index, state, &mut effects),
        }
        self.leader_lease_end = self.leader_lease_end(now);
        if self.leader != leader {
            effects.push(Effect::Leader(self.leader.clone()));
        }
        effects
    }

    /// Name of this member.
    pub fn id(&self) -> &Name {
        &self.id
    }

    /// Random number of this run of the process.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// On the leader, the run of the process in which a member has answered it in this term.
    pub fn boot_of(&self, member: &Name) -> Option<u64> {
        let ElectionState::Leader { progress, .. } = &self.election else { return None };
        Some(progress.get(member)?.stamp?.boot)
    }

    /// On the leader, the highest index at which the log of a member is known to match; 0 otherwise.
    pub fn matched(&self, member: &Name) -> Index {
        let ElectionState::Leader { progress, .. } = &self.election else { return 0 };
        progress.get(member).map_or(0, |progress| progress.matched)
    }

    /// Latest membership in the log, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The leader known to this member.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// The leader, if this member leads, or has heard from the leader within a view lease. A member
    /// that may not stand for election keeps the leader that it knew last.
    pub fn recent_leader(&self, now: Time) -> Option<&Name> {
        let is_recent = self.is_leader() || now < self.last_leader_contact + Timing::VIEW_LEASE;
        self.leader.as_ref().filter(|_| is_recent)
    }

    /// On the leader, the members whose view lease has certainly expired; empty on other members.
    pub fn members_without_view_lease(&self, now: Time) -> Vec<Name> {
        let ElectionState::Leader { progress, .. } = &self.election else { return Vec::new() };
        let expired = progress.iter().filter(|(_, progress)| progress.view_lease_bound <= now);
        expired.map(|(member, _)| member.clone()).collect()
    }

    /// Whether this member is the leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.election, ElectionState::Leader { .. })
    }

    /// Whether this member leads and holds a valid leader lease, so that no other member can be
    /// leader now. Also requires that its membership is committed.
    pub fn has_leader_lease(&self, now: Time) -> bool {
        now < self.leader_lease_end
    }

    /// Index of the last entry in the log, committed or not.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Starts the log of a new fleet, with its founders as voters; does nothing if the log is not
    /// empty, or if this member is no founder or has another disk. Every founder must be given the
    /// same founders.
    pub fn found(&mut self, now: Time, founders: &Founders) -> Vec<Effect> {
        let mut effects = Vec::new();
        let is_founder = self.disk.is_some() && founders.get(&self.id) == self.disk.as_ref();
        if !is_founder || self.members.is_bootstrapped() || self.log.last_index() > 0 {
            return effects;
        }
        if self.term < Self::FOUNDING_TERM {
            self.term = Self::FOUNDING_TERM;
            self.vote = None;
            self.persist_vote(&mut effects);
        }
        let voter = |(name, disk): (&Name, &DiskId)| {
            (name.clone(), Member { role: Role::Voter, disk: Some(*disk) })
        };
        let members = Some(founders.iter().map(voter).collect());
        let entry = Entry { term: Self::FOUNDING_TERM, command: Vec::new(), members };
        self.append(now, entry, &mut effects);
        self.reset_election_timer(&mut effects);
        effects
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Highest index known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Highest index known to be in force: every member has applied it, or has no valid view lease.
    pub fn forced(&self) -> Index {
        self.forced
    }

    /// Whether this member holds a valid view lease, and so may act on the configuration that it
    /// has applied.
    pub fn has_view_lease(&self, now: Time) -> bool {
        now < self.view_lease_end
    }

    /// Expiry of this member's view lease.
    pub fn view_lease_end(&self) -> Time {
        self.view_lease_end
    }

    /// Replication progress of the other members; empty unless this member leads.
    pub fn progress(&self) -> Vec<(Name, Progress)> {
        let ElectionState::Leader { progress, .. } = &self.election else { return Vec::new() };
        progress.iter().map(|(name, progress)| (name.clone(), progress.clone())).collect()
    }

    pub(crate) fn start(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.last_leader_contact = now;
        self.removed_leases_end = now + Timing::VIEW_LEASE + Timing::CLOCK_DRIFT;
        effects.extend(self.snapshot.clone().map(Effect::Install));
        self.reset_election_timer(effects);
    }

    /// Restarts the election timer with a random timeout, if this member may stand for election.
    pub(crate) fn reset_election_timer(&mut self, effects: &mut Vec<Effect>) {
        if self.is_electable() {
            let range = Timing::MIN_ELECTION_TIMEOUT.as_millis() as u64
                ..Timing::MAX_ELECTION_TIMEOUT.as_millis() as u64;
            let after = Duration::from_millis(self.rng.random_range(range));
            effects.push(Effect::Subscribe { timer: Timer::Election, after });
        }
    }

    /// Timestamp of this member's clock.
    pub(crate) fn stamp(&self, now: Time) -> Stamp {
        Stamp { boot: self.boot, at: now }
    }

    pub(crate) fn other_members(&self) -> Vec<Name> {
        let names = self.members.iter().map(|(name, _)| name);
        names.filter(|name| **name != self.id).cloned().collect()
    }

    pub(crate) fn other_voters(&self) -> Vec<Name> {
        self.members.voters().filter(|name| **name != self.id).cloned().collect()
    }

    pub(crate) fn persist_vote(&self, effects: &mut Vec<Effect>) {
        let record = Record::Vote { term: self.term, vote: self.vote.clone() };
        effects.push(Effect::Persist(record));
    }

    /// Becomes a follower of `leader`, if one is known.
    pub(crate) fn step_down(&mut self, leader: Option<Name>, effects: &mut Vec<Effect>) {
        self.election = ElectionState::Follower;
        self.leader = leader;
        self.reset_election_timer(effects);
    }

    pub(crate) fn on_message(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Ask { .. } => self.on_vote_request(now, from, message, effects),
            Message::Yield { term } => self.on_leadership_transfer(now, term, effects),
            Message::Vote { .. } => self.on_vote_reply(now, from, message, effects),
            Message::Append { term, .. } | Message::Chunk { term, .. } if term < self.term => {
                let message = Message::Refused { term: self.term };
                effects.push(Effect::Send { to: from, message });
            }
            Message::Refused { term } if term > self.term => self.enter_term(term, None, effects),
            Message::Refused { .. } => {}
            Message::Chunk { .. } => self.on_chunk(now, from, message, effects),
            Message::Received { .. } => self.on_chunk_received(now, from, message, effects),
            Message::Append { .. } => self.on_append(now, from, message, effects),
            Message::Appended { .. } => self.on_appended(now, from, message, effects),
        }
    }

    /// Moves to a higher term as a follower.
    pub(crate) fn enter_term(
        &mut self,
        term: Term,
        leader: Option<Name>,
        effects: &mut Vec<Effect>,
    ) {
        self.term = term;
        self.vote = None;
        self.persist_vote(effects);
        self.step_down(leader, effects);
    }
}
