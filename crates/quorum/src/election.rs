//! How a voter is elected: first it asks whether it would be, then to be. A leader that has yielded to it
//! saves the first question, and the time until the others take the leader for lost.

use super::*;

/// What a voter asks others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Canvass {
    /// Whether they would vote for it.
    Pre,
    /// To vote for it.
    Vote,
    /// To vote for it at once, since the leader has yielded to it.
    Yielded,
}

impl State {
    pub(crate) fn on_election(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.is_leader() || !self.stands() {
            return;
        }
        self.leader = None;
        self.standing = Standing::Asking { votes: self.own_vote() };
        self.ask(self.term + 1, Canvass::Pre, effects);
        self.await_leader(effects);
        self.count_votes(now, effects);
    }

    fn ask(&self, term: Term, canvass: Canvass, effects: &mut Vec<Effect>) {
        let (pre, yielded) = (canvass == Canvass::Pre, canvass == Canvass::Yielded);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.voters_besides() {
            let message = Message::Ask { term, pre, yielded, last_index, last_term };
            effects.push(Effect::Send { to, message });
        }
    }

    /// Leads no longer, and lets the voter be elected that was heard last of those with all of the log.
    pub(crate) fn on_yield(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Standing::Leader { progress, .. } = &self.standing else { return };
        let last = self.log.last_index();
        let ready = progress.iter().filter(|(name, peer)| {
            self.members.counts(name, peer.disk) && peer.matched == last && self.synced == last
        });
        let heard = ready.max_by_key(|(_, peer)| peer.last_acked_send);
        let Some(to) = heard.map(|(name, _)| name.clone()) else { return };
        // Leading ends before the message goes, so that no lease of this leader outlives it.
        self.step_down(None, effects);
        self.heard = now;
        let message = Message::Yield { term: self.term };
        effects.push(Effect::Send { to, message });
    }

    pub(crate) fn on_yielded(&mut self, now: Time, term: Term, effects: &mut Vec<Effect>) {
        if term == self.term && !self.is_leader() && self.stands() {
            self.leader = None;
            self.become_candidate(now, Canvass::Yielded, effects);
        }
    }

    pub(crate) fn count_votes(&mut self, now: Time, effects: &mut Vec<Effect>) {
        match &self.standing {
            Standing::Asking { votes } if self.elects(votes) => {
                self.become_candidate(now, Canvass::Vote, effects);
            }
            Standing::Candidate { votes } if self.elects(votes) => {
                self.become_leader(now, effects);
            }
            _ => {}
        }
    }

    fn become_candidate(&mut self, now: Time, canvass: Canvass, effects: &mut Vec<Effect>) {
        self.term += 1;
        self.vote = Some(self.id.clone());
        self.standing = Standing::Candidate { votes: self.own_vote() };
        self.persist_vote(effects);
        self.ask(self.term, canvass, effects);
        self.await_leader(effects);
        self.count_votes(now, effects);
    }

    fn become_leader(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Standing::Candidate { votes } = &self.standing else { return };
        let founded = self.members.is_bootstrapped();
        let members = (!founded).then(|| self.members.with_voter_disks(votes));
        let next = self.log.last_index() + 1;
        let granted_until = now + Timing::VIEW_LEASE + Timing::DRIFT;
        let progress = self.others().into_iter();
        let progress = progress.map(|name| (name, Progress::new(next, granted_until))).collect();
        self.standing = Standing::Leader { opened: next, progress };
        self.leader = Some(self.id.clone());
        self.heard = now;
        self.append(now, Entry { term: self.term, command: Vec::new(), members }, effects);
        effects.push(Effect::Subscribe { timer: Timer::Heartbeat, after: Timing::HEARTBEAT });
    }

    pub(crate) fn on_ask(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Message::Ask { term, pre, yielded, last_index, last_term } = message else { return };
        let led = self.is_leader() || !yielded && now < self.heard + Timing::ELECTION_MIN;
        let behind = (last_term, last_index) < (self.log.last_term(), self.log.last_index());
        let Some(disk) = self.disk.filter(|_| !led) else { return };
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
        effects
            .push(Effect::Send { to: from, message: Message::Vote { term, pre, granted, disk } });
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Message::Vote { term, pre, granted, disk } = message else { return };
        if !granted {
            if term > self.term {
                self.enter(term, None, effects);
            }
            return;
        }
        match &mut self.standing {
            Standing::Asking { votes } if pre && term == self.term + 1 => votes.insert(from, disk),
            Standing::Candidate { votes } if !pre && term == self.term => votes.insert(from, disk),
            _ => return,
        };
        self.count_votes(now, effects);
    }

    /// The first votes of this member's own candidacy.
    fn own_vote(&self) -> BTreeMap<Name, DiskId> {
        self.disk.map(|disk| (self.id.clone(), disk)).into_iter().collect()
    }

    /// Whether `votes` elect: those of a majority, or to found the log those of all voters.
    fn elects(&self, votes: &BTreeMap<Name, DiskId>) -> bool {
        if !self.members.is_bootstrapped() {
            return self.members.voters().all(|name| votes.contains_key(name));
        }
        let counted = votes.iter().filter(|(name, disk)| self.members.counts(name, Some(**disk)));
        counted.count() >= self.members.majority()
    }
}
