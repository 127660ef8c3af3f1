//! Leader election. A voter first runs a pre-vote, which asks whether it would win, and then the
//! election proper. A voter to which the leader has transferred leadership skips the pre-vote, and
//! other voters grant it a vote without waiting for the leader to time out.

use super::*;

/// Kind of a vote request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VoteKind {
    /// Pre-vote: asks whether the receiver would grant a vote.
    PreVote,
    /// Regular vote after a pre-vote.
    Vote,
    /// Vote after the previous leader has transferred leadership to the candidate; needs no
    /// election timeout.
    LeadershipTransfer,
}

impl State {
    /// Starts a pre-vote, if this member may stand for election.
    pub(crate) fn on_election_timer(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.is_leader() || !self.is_electable() {
            return;
        }
        self.leader = None;
        self.election = ElectionState::PreCandidate { votes: self.own_vote() };
        self.request_votes(self.term + 1, VoteKind::PreVote, effects);
        self.reset_election_timer(effects);
        self.count_votes(now, effects);
    }

    fn request_votes(&self, term: Term, kind: VoteKind, effects: &mut Vec<Effect>) {
        let (pre, yielded) = (kind == VoteKind::PreVote, kind == VoteKind::LeadershipTransfer);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_voters() {
            let message = Message::Ask { term, pre, yielded, last_index, last_term };
            effects.push(Effect::Send { to, message });
        }
    }

    /// Transfers leadership: steps down, and asks a voter with a complete log to stand for
    /// election. Among several, takes the one that was heard from last. Does nothing if there is
    /// none.
    pub(crate) fn transfer_leadership(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let ElectionState::Leader { progress, .. } = &self.election else { return };
        let last = self.log.last_index();
        let ready = progress.iter().filter(|(name, peer)| {
            self.members.is_admitted_voter(name, peer.disk)
                && peer.matched == last
                && self.synced_index == last
        });
        let successor = ready.max_by_key(|(_, peer)| peer.last_acked_send);
        let Some(to) = successor.map(|(name, _)| name.clone()) else { return };
        // Step down before the message is sent, so that no leader lease outlives the transfer.
        self.step_down(None, effects);
        self.last_leader_contact = now;
        let message = Message::Yield { term: self.term };
        effects.push(Effect::Send { to, message });
    }

    /// Stands for election at once, since the previous leader has transferred leadership to this
    /// member.
    pub(crate) fn on_leadership_transfer(
        &mut self,
        now: Time,
        term: Term,
        effects: &mut Vec<Effect>,
    ) {
        if term == self.term && !self.is_leader() && self.is_electable() {
            self.leader = None;
            self.become_candidate(now, VoteKind::LeadershipTransfer, effects);
        }
    }

    /// Proceeds to the election after a won pre-vote, and becomes leader after a won election.
    pub(crate) fn count_votes(&mut self, now: Time, effects: &mut Vec<Effect>) {
        match &self.election {
            ElectionState::PreCandidate { votes } if self.wins_election(votes) => {
                self.become_candidate(now, VoteKind::Vote, effects);
            }
            ElectionState::Candidate { votes } if self.wins_election(votes) => {
                self.become_leader(now, effects);
            }
            _ => {}
        }
    }

    /// Enters the next term as a candidate, and requests votes.
    fn become_candidate(&mut self, now: Time, kind: VoteKind, effects: &mut Vec<Effect>) {
        self.term += 1;
        self.vote = Some(self.id.clone());
        self.election = ElectionState::Candidate { votes: self.own_vote() };
        self.persist_vote(effects);
        self.request_votes(self.term, kind, effects);
        self.reset_election_timer(effects);
        self.count_votes(now, effects);
    }

    /// Becomes leader and appends the first entry of its term, which also bootstraps the cluster if
    /// that has not happened yet.
    fn become_leader(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let ElectionState::Candidate { votes } = &self.election else { return };
        let bootstrapped = self.members.is_bootstrapped();
        let members = (!bootstrapped).then(|| self.members.with_voter_disks(votes));
        let next = self.log.last_index() + 1;
        let progress = self.other_members().into_iter();
        let progress = progress.map(|name| (name, Progress::new(now, next))).collect();
        self.election = ElectionState::Leader { term_start: next, progress };
        self.leader = Some(self.id.clone());
        self.last_leader_contact = now;
        self.append(now, Entry { term: self.term, command: Vec::new(), members }, effects);
        effects
            .push(Effect::Subscribe { timer: Timer::Heartbeat, after: Timing::HEARTBEAT_INTERVAL });
    }

    /// Answers a vote request; ignores it while this member is in contact with a leader. Does not
    /// check this member's own role, since a demotion in its log may be uncommitted; the candidate
    /// counts only the votes of voters.
    pub(crate) fn on_vote_request(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Message::Ask { term, pre, yielded, last_index, last_term } = message else { return };
        let has_leader = self.is_leader()
            || !yielded && now < self.last_leader_contact + Timing::MIN_ELECTION_TIMEOUT;
        let log_is_behind = (last_term, last_index) < (self.log.last_term(), self.log.last_index());
        let Some(disk) = self.disk.filter(|_| !has_leader) else { return };
        if !pre && term > self.term {
            self.enter_term(term, None, effects);
        }
        let can_vote = self.vote.is_none() || self.vote.as_ref() == Some(&from);
        let granted =
            !log_is_behind && if pre { term > self.term } else { term == self.term && can_vote };
        if granted && !pre {
            self.vote = Some(from.clone());
            self.persist_vote(effects);
            self.reset_election_timer(effects);
        }
        let term = if granted { term } else { self.term };
        effects
            .push(Effect::Send { to: from, message: Message::Vote { term, pre, granted, disk } });
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Message::Vote { term, pre, granted, disk } = message else { return };
        if !granted {
            if term > self.term {
                self.enter_term(term, None, effects);
            }
            return;
        }
        match &mut self.election {
            ElectionState::PreCandidate { votes } if pre && term == self.term + 1 => {
                votes.insert(from, disk)
            }
            ElectionState::Candidate { votes } if !pre && term == self.term => {
                votes.insert(from, disk)
            }
            _ => return,
        };
        self.count_votes(now, effects);
    }

    /// The votes that a candidacy starts with: the member's own.
    fn own_vote(&self) -> BTreeMap<Name, DiskId> {
        self.disk.map(|disk| (self.id.clone(), disk)).into_iter().collect()
    }

    /// Whether `votes` win the election: a majority, or all voters if the log has not been
    /// bootstrapped.
    fn wins_election(&self, votes: &BTreeMap<Name, DiskId>) -> bool {
        if !self.members.is_bootstrapped() {
            return self.members.voters().all(|name| votes.contains_key(name));
        }
        let counted =
            votes.iter().filter(|(name, disk)| self.members.is_admitted_voter(name, Some(**disk)));
        counted.count() >= self.members.majority()
    }
}
