use super::*;

/// State of a member.
#[derive(Debug, Clone)]
pub struct State {
    id: Name,
    /// Differs between any two starts.
    boot: u64,
    members: BTreeMap<Name, Role>,
    term: Term,
    vote: Option<Name>,
    log: Log,
    standing: Standing,
    leader: Option<Name>,
    /// Last index on this member's disk.
    synced: Index,
    commit: Index,
    applied: Index,
    forced: Index,
    /// When a leader was last heard, or the process started.
    heard: Time,
    view_until: Time,
    rng: ChaCha8Rng,
}

impl State {
    /// A member that has just started with what its disk held; `boot` differs between any two
    /// starts.
    pub fn new(id: Name, members: BTreeMap<Name, Role>, restored: Restored, boot: u64) -> Self {
        let log = Log::from(restored.entries);
        Self {
            id,
            boot,
            members,
            term: restored.term,
            vote: restored.vote,
            synced: log.last_index(),
            log,
            standing: Standing::Follower,
            leader: None,
            commit: 0,
            applied: 0,
            forced: 0,
            heard: Time::ZERO,
            view_until: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(boot),
        }
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

    fn start(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.heard = now;
        self.await_leader(effects);
    }

    fn await_leader(&mut self, effects: &mut Vec<Effect>) {
        if self.is_voter(&self.id) {
            let range =
                Timing::ELECTION_MIN.as_millis() as u64..Timing::ELECTION_MAX.as_millis() as u64;
            let after = Duration::from_millis(self.rng.random_range(range));
            effects.push(Effect::Subscribe { timer: Timer::Election, after });
        }
    }

    fn is_voter(&self, name: &Name) -> bool {
        self.members.get(name) == Some(&Role::Voter)
    }

    fn majority(&self) -> usize {
        self.members.values().filter(|role| **role == Role::Voter).count() / 2 + 1
    }

    fn others(&self) -> Vec<Name> {
        self.members.keys().filter(|name| **name != self.id).cloned().collect()
    }

    fn voters_besides(&self) -> Vec<Name> {
        self.others().into_iter().filter(|name| self.is_voter(name)).collect()
    }

    fn on_election(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.leads() {
            return;
        }
        self.leader = None;
        self.standing = Standing::Asking { votes: BTreeSet::from([self.id.clone()]) };
        self.ask(true, self.term + 1, effects);
        self.await_leader(effects);
        self.count_votes(now, effects);
    }

    fn ask(&self, pre: bool, term: Term, effects: &mut Vec<Effect>) {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.voters_besides() {
            let message = Message::Ask { term, pre, last_index, last_term };
            effects.push(Effect::Send { to, message });
        }
    }

    fn count_votes(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let majority = self.majority();
        match &self.standing {
            Standing::Asking { votes } if votes.len() >= majority => {
                self.become_candidate(now, effects);
            }
            Standing::Candidate { votes } if votes.len() >= majority => {
                self.become_leader(now, effects);
            }
            _ => {}
        }
    }

    fn become_candidate(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.term += 1;
        self.vote = Some(self.id.clone());
        self.standing = Standing::Candidate { votes: BTreeSet::from([self.id.clone()]) };
        self.persist_vote(effects);
        self.ask(false, self.term, effects);
        self.await_leader(effects);
        self.count_votes(now, effects);
    }

    fn become_leader(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let next = self.log.last_index() + 1;
        let granted_until = now + Timing::VIEW_LEASE + Timing::DRIFT;
        let progress = self.others().into_iter();
        let progress = progress.map(|name| (name, Progress::new(next, granted_until))).collect();
        self.standing = Standing::Leader { opened: next, progress };
        self.leader = Some(self.id.clone());
        self.heard = now;
        self.append(now, Vec::new(), effects);
        effects.push(Effect::Subscribe { timer: Timer::Heartbeat, after: Timing::HEARTBEAT });
    }

    fn persist_vote(&self, effects: &mut Vec<Effect>) {
        let record = Record::Vote { term: self.term, vote: self.vote.clone() };
        effects.push(Effect::Persist(record));
    }

    fn on_propose(&mut self, now: Time, command: Vec<u8>, effects: &mut Vec<Effect>) {
        if self.leads() {
            self.append(now, command, effects);
        }
    }

    fn append(&mut self, now: Time, command: Vec<u8>, effects: &mut Vec<Effect>) {
        let entry = Entry { term: self.term, command };
        self.log.push(entry.clone());
        let first = self.log.last_index();
        effects.push(Effect::Persist(Record::Entries { first, entries: vec![entry] }));
        self.replicate(now, effects);
    }

    fn replicate(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for to in self.others() {
            self.replicate_to(now, &to, effects);
        }
    }

    fn replicate_to(&mut self, now: Time, to: &Name, effects: &mut Vec<Effect>) {
        let grants = self.may_grant(now);
        let Standing::Leader { progress, .. } = &mut self.standing else { return };
        let Some(progress) = progress.get_mut(to) else { return };
        let prev_index = progress.next - 1;
        let entries = self.log.slice(progress.next, Timing::MAX_APPEND_BYTES);
        progress.next += entries.len() as Index;
        progress.sent = now;
        let echo = progress.stamp.filter(|_| grants);
        let message = Message::Append {
            term: self.term,
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries,
            commit: self.commit,
            forced: self.forced,
            sent: now,
            echo,
        };
        effects.push(Effect::Send { to: to.clone(), message });
    }

    /// Latest time at which a majority is known to have followed this leader.
    fn led_at(&self, now: Time) -> Option<Time> {
        let Standing::Leader { progress, .. } = &self.standing else { return None };
        let voters = progress.iter().filter(|(name, _)| self.is_voter(name));
        let mut answered: Vec<_> = voters.filter_map(|(_, progress)| progress.answered).collect();
        answered.push(now);
        answered.sort_unstable_by(|a, b| b.cmp(a));
        answered.get(self.majority() - 1).copied()
    }

    fn may_grant(&self, now: Time) -> bool {
        let Standing::Leader { opened, .. } = self.standing else { return false };
        let Some(led_at) = self.led_at(now) else { return false };
        self.commit >= opened && now < led_at + Timing::LEADER_LEASE
    }

    fn on_heartbeat(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if !self.leads() {
            return;
        }
        let led_at = self.led_at(now).unwrap_or(self.heard).max(self.heard);
        if now >= led_at + Timing::LEADER_LEASE {
            return self.step_down(None, effects);
        }
        self.advance_forced(now);
        for to in self.beat_due(now) {
            self.replicate_to(now, &to, effects);
        }
        effects.push(Effect::Subscribe { timer: Timer::Heartbeat, after: Timing::HEARTBEAT });
    }

    /// Members that should hear from the leader again.
    fn beat_due(&self, now: Time) -> Vec<Name> {
        let Standing::Leader { progress, .. } = &self.standing else { return Vec::new() };
        let due = progress.iter().filter(|(name, progress)| {
            self.is_voter(name) || progress.sent + Timing::OBSERVER_HEARTBEAT <= now
        });
        due.map(|(name, _)| name.clone()).collect()
    }

    fn step_down(&mut self, leader: Option<Name>, effects: &mut Vec<Effect>) {
        self.standing = Standing::Follower;
        self.leader = leader;
        self.await_leader(effects);
    }

    fn on_message(&mut self, now: Time, from: Name, message: Message, effects: &mut Vec<Effect>) {
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
            Message::Append { term, .. } if term < self.term => {
                let message = Message::Refused { term: self.term };
                effects.push(Effect::Send { to: from, message });
            }
            Message::Refused { term } if term > self.term => self.enter(term, None, effects),
            Message::Refused { .. } => {}
            Message::Append { .. } => self.on_append(now, from, message, effects),
            Message::Appended { .. } => self.on_appended(now, from, message, effects),
        }
    }

    fn on_ask(
        &mut self,
        now: Time,
        from: Name,
        term: Term,
        pre: bool,
        last: (Term, Index),
        effects: &mut Vec<Effect>,
    ) {
        let led = self.leads() || now < self.heard + Timing::ELECTION_MIN;
        let behind = last < (self.log.last_term(), self.log.last_index());
        if led || !self.is_voter(&from) {
            return;
        }
        if !pre && term > self.term {
            self.enter(term, None, effects);
        }
        let free = self.vote.is_none() || self.vote.as_ref() == Some(&from);
        let granted = !behind && if pre { term > self.term } else { term == self.term && free };
        if granted && !pre {
            self.vote = Some(from.clone());
            self.persist_vote(effects);
            self.await_leader(effects);
        }
        let term = if granted { term } else { self.term };
        effects.push(Effect::Send { to: from, message: Message::Vote { term, pre, granted } });
    }

    /// Follows a higher term.
    fn enter(&mut self, term: Term, leader: Option<Name>, effects: &mut Vec<Effect>) {
        self.term = term;
        self.vote = None;
        self.persist_vote(effects);
        self.step_down(leader, effects);
    }

    fn on_vote(
        &mut self,
        now: Time,
        from: Name,
        term: Term,
        pre: bool,
        granted: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !granted {
            if term > self.term {
                self.enter(term, None, effects);
            }
            return;
        }
        match &mut self.standing {
            Standing::Asking { votes } if pre && term == self.term + 1 => votes.insert(from),
            Standing::Candidate { votes } if !pre && term == self.term => votes.insert(from),
            _ => return,
        };
        self.count_votes(now, effects);
    }

    fn answer_append(
        &self,
        now: Time,
        to: Name,
        matched: bool,
        index: Index,
        sent: Time,
        effects: &mut Vec<Effect>,
    ) {
        let message = Message::Appended {
            term: self.term,
            matched,
            index,
            applied: self.applied,
            sent,
            stamp: Stamp { boot: self.boot, at: now },
        };
        effects.push(Effect::Send { to, message });
    }

    fn on_append(&mut self, now: Time, from: Name, message: Message, effects: &mut Vec<Effect>) {
        let Message::Append { term, prev_index, prev_term, entries, commit, forced, sent, echo } =
            message
        else {
            return;
        };
        self.follow(now, from.clone(), term, effects);
        if self.log.term(prev_index) != Some(prev_term) {
            let hint = self.log.last_index().min(prev_index.saturating_sub(1));
            return self.answer_append(now, from, false, hint, sent, effects);
        }
        let index = prev_index + entries.len() as Index;
        self.merge(prev_index + 1, entries, effects);
        self.advance_commit(commit.min(index), effects);
        self.forced = self.forced.max(forced.min(self.applied));
        if let Some(echo) = echo.filter(|echo| echo.boot == self.boot && self.applied >= commit) {
            self.view_until = self.view_until.max(echo.at + Timing::VIEW_LEASE);
        }
        self.answer_append(now, from, true, index, sent, effects);
    }

    fn follow(&mut self, now: Time, from: Name, term: Term, effects: &mut Vec<Effect>) {
        self.heard = now;
        if term > self.term {
            return self.enter(term, Some(from), effects);
        }
        self.step_down(Some(from), effects);
    }

    fn merge(&mut self, first: Index, entries: Vec<Entry>, effects: &mut Vec<Effect>) {
        let known =
            |(i, entry): (usize, &Entry)| self.log.term(first + i as Index) == Some(entry.term);
        let skip = entries.iter().enumerate().take_while(|pair| known(*pair)).count();
        let first = first + skip as Index;
        let entries: Vec<_> = entries.into_iter().skip(skip).collect();
        if entries.is_empty() {
            return;
        }
        self.log.truncate(first);
        self.synced = self.synced.min(first - 1);
        for entry in &entries {
            self.log.push(entry.clone());
        }
        effects.push(Effect::Persist(Record::Entries { first, entries }));
    }

    fn advance_commit(&mut self, commit: Index, effects: &mut Vec<Effect>) {
        self.commit = self.commit.max(commit);
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else { return };
            self.applied += 1;
            effects.push(Effect::Apply { index: self.applied, entry });
        }
    }

    fn on_appended(&mut self, now: Time, from: Name, message: Message, effects: &mut Vec<Effect>) {
        let Message::Appended { term, matched, index, applied, sent, stamp } = message else {
            return;
        };
        if term > self.term {
            return self.enter(term, None, effects);
        }
        let last = self.log.last_index();
        let Standing::Leader { progress, .. } = &mut self.standing else { return };
        let Some(peer) = progress.get_mut(&from).filter(|_| term == self.term) else { return };
        peer.answered = peer.answered.max(Some(sent));
        peer.stamp = Some(stamp);
        peer.granted_until = now + Timing::VIEW_LEASE + Timing::DRIFT;
        peer.applied = applied;
        if matched {
            peer.matched = peer.matched.max(index.min(last));
            peer.next = peer.next.max(peer.matched + 1);
        } else {
            peer.next = index.min(last) + 1;
        }
        let behind = peer.next <= last;
        self.commit_majority(now, effects);
        self.advance_forced(now);
        if behind {
            self.replicate_to(now, &from, effects);
        }
    }

    fn on_synced(&mut self, now: Time, term: Term, index: Index, effects: &mut Vec<Effect>) {
        if self.log.term(index) == Some(term) {
            self.synced = self.synced.max(index);
            self.commit_majority(now, effects);
        }
    }

    fn commit_majority(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Standing::Leader { progress, .. } = &self.standing else { return };
        let voters = progress.iter().filter(|(name, _)| self.is_voter(name));
        let mut matched: Vec<_> = voters.map(|(_, progress)| progress.matched).collect();
        matched.push(self.synced);
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(commit) = matched.get(self.majority() - 1).copied() else { return };
        if commit > self.commit && self.log.term(commit) == Some(self.term) {
            self.advance_commit(commit, effects);
            self.replicate(now, effects);
        }
    }

    fn advance_forced(&mut self, now: Time) {
        if let Some(led_at) = self.led_at(now).filter(|_| self.may_grant(now)) {
            self.view_until = self.view_until.max(led_at + Timing::VIEW_LEASE);
        }
        let Standing::Leader { progress, .. } = &self.standing else { return };
        let holders = progress.values().filter(|progress| now < progress.granted_until);
        let slowest = holders.map(|progress| progress.applied).min().unwrap_or(self.applied);
        self.forced = self.forced.max(slowest.min(self.applied));
    }
}
