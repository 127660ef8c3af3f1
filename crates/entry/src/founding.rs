//! Founding of a new fleet: the seeds choose the founders, its first voters, once and for ever. This
//! is Paxos for a single value (Lamport, "Paxos Made Simple", 2001): daemons with an empty disk hold
//! ballots, and the seeds promise and vote. docs/design/founding.md argues why two fleets are never
//! founded, and why one always is.

use {
    super::*,
    quorum::{Ballot, DiskId, Founders},
};

/// Part of a daemon in the founding.
#[derive(Debug)]
pub(crate) struct Founding {
    own: Name,
    /// `None` for a seed without a disk.
    disk: Option<DiskId>,
    /// What must be on disk before a message leaves.
    durable: quorum::Founding,
    /// The highest ballot known, since when, and when its holder was last heard.
    highest: Ballot,
    highest_since: Time,
    holder_heard: Option<Time>,
    /// From when on this daemon may hold a ballot.
    hold_from: Time,
    attempt: Option<Attempt>,
    chosen: Option<Founders>,
}

/// A ballot that this daemon holds.
#[derive(Debug)]
struct Attempt {
    ballot: Ballot,
    promises: BTreeMap<Name, Promise>,
    /// When a majority had promised.
    promised_at: Option<Time>,
    /// Whom the seeds are asked to vote for.
    founders: Option<Founders>,
    votes: BTreeSet<Name>,
}

/// Promise of a seed: its disk, and its last vote.
type Promise = (Option<DiskId>, Option<(Ballot, Founders)>);

/// What [`Founding`] requests, in order.
#[derive(Debug)]
pub(crate) enum FoundingEffect {
    /// Write to disk.
    Persist(quorum::Founding),
    /// Send a message once all that was requested before is durable, also to this daemon itself.
    Send { to: Name, message: FoundingMessage },
    /// Start the log if this daemon is a founder. The holder of the ballot stands for election.
    Found { founders: Founders, stands: bool },
    /// Write a log line.
    Note { what: &'static str, why: String },
}

impl Founding {
    /// How long a seed listens for ballots of others before it holds one. All daemons of a new fleet
    /// start within a shorter time of each other.
    const LISTEN_TIME: Duration = Duration::from_millis(600);
    /// The same for other daemons, which are needed only if no seed has a disk.
    const OTHERS_LISTEN_TIME: Duration = Duration::from_millis(2000);
    /// How long the other seeds may take to promise after a majority has: every founder more survives
    /// the loss of one.
    const PROMISE_WAIT: Duration = Duration::from_millis(500);
    /// A ballot whose holder was not heard for this long is given up.
    const HOLDER_TIMEOUT: Duration = Duration::from_millis(1000);
    /// A ballot is given up after this time in the first round, even if its holder is heard, and
    /// after twice the time in each further round: the holder may not reach the other seeds, or
    /// the disks may be slow.
    const BALLOT_TIMEOUT: Duration = Duration::from_secs(4);
    /// The timeout grows no more after this number of rounds.
    const MAX_DOUBLINGS: u64 = 4;

    /// Takes part with what was restored from the disk.
    pub(crate) fn new(
        now: Time,
        own: Name,
        disk: Option<DiskId>,
        durable: quorum::Founding,
    ) -> Self {
        let listen_time =
            if durable.seeds.contains(&own) { Self::LISTEN_TIME } else { Self::OTHERS_LISTEN_TIME };
        Self {
            own,
            disk,
            highest: durable.ballot.clone(),
            durable,
            highest_since: now,
            holder_heard: None,
            hold_from: now + listen_time,
            attempt: None,
            chosen: None,
        }
    }

    /// Takes part for the first time, with an empty disk.
    pub(crate) fn first(
        now: Time,
        own: Name,
        disk: Option<DiskId>,
        seeds: &[Name],
    ) -> (Self, FoundingEffect) {
        let seeds = seeds.iter().cloned().collect();
        let durable = quorum::Founding { seeds, ballot: Ballot::default(), vote: None };
        let effect = FoundingEffect::Persist(durable.clone());
        (Self::new(now, own, disk, durable), effect)
    }

    /// Whether this daemon votes.
    pub(crate) fn is_seed(&self) -> bool {
        self.durable.seeds.contains(&self.own)
    }

    /// Holds a ballot if one is due, and sends again what is not answered.
    pub(crate) fn on_beat(&mut self, now: Time) -> Vec<FoundingEffect> {
        let mut effects = Vec::new();
        if let Some(founders) = &self.chosen {
            Self::announce(&self.own, &self.durable.seeds, founders, &mut effects);
            return effects;
        }
        if self.attempt.is_none() && self.may_hold(now) {
            self.hold(now, &mut effects);
        }
        self.propose(now, &mut effects);
        self.request(&mut effects);
        effects
    }

    pub(crate) fn on_message(
        &mut self,
        now: Time,
        from: Name,
        message: FoundingMessage,
    ) -> Vec<FoundingEffect> {
        let mut effects = Vec::new();
        match message {
            FoundingMessage::Prepare(ballot) => self.on_prepare(now, from, ballot, &mut effects),
            FoundingMessage::Promise { ballot, disk, vote } => {
                let seeds = &self.durable.seeds;
                let attempt = self.attempt.as_mut().filter(|attempt| attempt.ballot == ballot);
                if let Some(attempt) = attempt.filter(|_| seeds.contains(&from)) {
                    attempt.promises.insert(from, (disk, vote));
                    self.propose(now, &mut effects);
                }
            }
            FoundingMessage::Propose(ballot, founders) => {
                self.on_propose(now, from, ballot, founders, &mut effects);
            }
            FoundingMessage::Vote(ballot) => self.on_vote(from, &ballot, &mut effects),
            FoundingMessage::Refuse(ballot) => self.see(now, &ballot),
            FoundingMessage::Chosen(founders) => self.choose(founders, false, &mut effects),
        }
        effects
    }

    /// Number of seeds in a majority.
    fn majority(&self) -> usize {
        self.durable.seeds.len() / 2 + 1
    }

    /// Whether the highest ballot is to be given up for one of this daemon.
    fn may_hold(&self, now: Time) -> bool {
        let doublings = self.highest.round.saturating_sub(1).min(Self::MAX_DOUBLINGS) as u32;
        let is_silent = self.holder_heard.is_none_or(|at| now >= at + Self::HOLDER_TIMEOUT);
        let is_late = now >= self.highest_since + Self::BALLOT_TIMEOUT * 2u32.pow(doublings);
        self.disk.is_some() && now >= self.hold_from && (is_silent || is_late)
    }

    /// Holds a ballot that is higher than any known.
    fn hold(&mut self, now: Time, effects: &mut Vec<FoundingEffect>) {
        let round = self.highest.round.saturating_add(1);
        let ballot = Ballot { round, holder: Reverse(self.own.clone()) };
        let why = format!("holds ballot {ballot}, after {}", self.highest);
        effects.push(FoundingEffect::Note { what: "founding-ballot", why });
        self.see(now, &ballot);
        self.durable.ballot = ballot.clone();
        effects.push(FoundingEffect::Persist(self.durable.clone()));
        self.attempt = Some(Attempt {
            ballot,
            promises: BTreeMap::new(),
            promised_at: None,
            founders: None,
            votes: BTreeSet::new(),
        });
    }

    /// Takes note of a ballot; a higher one ends that of this daemon.
    fn see(&mut self, now: Time, ballot: &Ballot) {
        if *ballot > self.highest {
            self.highest = ballot.clone();
            self.highest_since = now;
            self.holder_heard = Some(now);
            self.attempt = None;
        }
    }

    /// Takes note of a request of the holder of a ballot. Returns whether this seed may answer; a
    /// ballot below the one promised is refused.
    fn may_answer(
        &mut self,
        now: Time,
        from: &Name,
        ballot: &Ballot,
        effects: &mut Vec<FoundingEffect>,
    ) -> bool {
        self.see(now, ballot);
        if *ballot == self.highest {
            self.holder_heard = Some(now);
        }
        if !self.is_seed() {
            return false;
        }
        let refusal = match &self.chosen {
            Some(founders) => Some(FoundingMessage::Chosen(founders.clone())),
            None if *ballot < self.durable.ballot => {
                Some(FoundingMessage::Refuse(self.durable.ballot.clone()))
            }
            None => None,
        };
        let is_refused = refusal.is_some();
        let send = |message| FoundingEffect::Send { to: from.clone(), message };
        effects.extend(refusal.map(send));
        !is_refused
    }

    fn on_prepare(
        &mut self,
        now: Time,
        from: Name,
        ballot: Ballot,
        effects: &mut Vec<FoundingEffect>,
    ) {
        if !self.may_answer(now, &from, &ballot, effects) {
            return;
        }
        if ballot > self.durable.ballot {
            let why = format!("promises to vote in no ballot below {ballot}");
            effects.push(FoundingEffect::Note { what: "founding-promise", why });
            self.durable.ballot = ballot.clone();
            effects.push(FoundingEffect::Persist(self.durable.clone()));
        }
        let vote = self.durable.vote.clone();
        let message = FoundingMessage::Promise { ballot, disk: self.disk, vote };
        effects.push(FoundingEffect::Send { to: from, message });
    }

    fn on_propose(
        &mut self,
        now: Time,
        from: Name,
        ballot: Ballot,
        founders: Founders,
        effects: &mut Vec<FoundingEffect>,
    ) {
        if !self.may_answer(now, &from, &ballot, effects) {
            return;
        }
        let vote = Some((ballot.clone(), founders));
        if vote != self.durable.vote {
            let names = vote.iter().flat_map(|(_, founders)| founders.keys());
            let why = format!("votes in ballot {ballot} for {}", join(names));
            effects.push(FoundingEffect::Note { what: "founding-vote", why });
            self.durable.ballot = ballot.clone();
            self.durable.vote = vote;
            effects.push(FoundingEffect::Persist(self.durable.clone()));
        }
        effects.push(FoundingEffect::Send { to: from, message: FoundingMessage::Vote(ballot) });
    }

    /// Proposes founders once enough seeds have promised: those of the highest vote among the
    /// promises, since they may be chosen already, or else the seeds that have promised.
    fn propose(&mut self, now: Time, effects: &mut Vec<FoundingEffect>) {
        let (majority, seeds) = (self.majority(), self.durable.seeds.len());
        let Some(attempt) = &mut self.attempt else { return };
        if attempt.founders.is_some() || attempt.promises.len() < majority {
            return;
        }
        let promised_at = *attempt.promised_at.get_or_insert(now);
        let votes = attempt.promises.values().filter_map(|(_, vote)| vote.as_ref());
        let voted = votes.max_by_key(|(ballot, _)| ballot).map(|(_, founders)| founders.clone());
        let is_complete = attempt.promises.len() == seeds || voted.is_some();
        if !is_complete && now < promised_at + Self::PROMISE_WAIT {
            return;
        }
        let founders = voted.unwrap_or_else(|| {
            let promises = attempt.promises.iter();
            let with_disk = promises.filter_map(|(name, (disk, _))| Some((name.clone(), (*disk)?)));
            let mut founders: Founders = with_disk.collect();
            // An even number of voters survives the loss of no more than the odd one below it.
            if founders.len().is_multiple_of(2) {
                founders.extend(self.disk.map(|disk| (self.own.clone(), disk)));
            }
            founders
        });
        attempt.founders = Some(founders);
        self.request(effects);
    }

    /// Sends the seeds what they have not answered in this daemon's ballot.
    fn request(&self, effects: &mut Vec<FoundingEffect>) {
        let Some(attempt) = &self.attempt else { return };
        for to in &self.durable.seeds {
            let message = match &attempt.founders {
                None if !attempt.promises.contains_key(to) => {
                    FoundingMessage::Prepare(attempt.ballot.clone())
                }
                Some(founders) if !attempt.votes.contains(to) => {
                    FoundingMessage::Propose(attempt.ballot.clone(), founders.clone())
                }
                _ => continue,
            };
            effects.push(FoundingEffect::Send { to: to.clone(), message });
        }
    }

    fn on_vote(&mut self, from: Name, ballot: &Ballot, effects: &mut Vec<FoundingEffect>) {
        let (majority, seeds) = (self.majority(), &self.durable.seeds);
        let attempt = self.attempt.as_mut().filter(|attempt| attempt.ballot == *ballot);
        let Some(attempt) = attempt.filter(|_| seeds.contains(&from)) else { return };
        attempt.votes.insert(from);
        if attempt.votes.len() < majority {
            return;
        }
        if let Some(founders) = attempt.founders.clone() {
            self.choose(founders, true, effects);
        }
    }

    /// The founders are chosen.
    fn choose(&mut self, founders: Founders, stands: bool, effects: &mut Vec<FoundingEffect>) {
        if self.chosen.is_some() {
            return;
        }
        let how = if stands { "counted their votes" } else { "was told so" };
        let why = format!("a majority of the seeds has chosen {}; {how}", join(founders.keys()));
        effects.push(FoundingEffect::Note { what: "founding", why });
        self.attempt = None;
        if stands {
            Self::announce(&self.own, &self.durable.seeds, &founders, effects);
        }
        effects.push(FoundingEffect::Found { founders: founders.clone(), stands });
        self.chosen = Some(founders);
    }

    /// Tells the founders and the seeds who was chosen.
    fn announce(
        own: &Name,
        seeds: &BTreeSet<Name>,
        founders: &Founders,
        effects: &mut Vec<FoundingEffect>,
    ) {
        let others: BTreeSet<_> = founders.keys().chain(seeds).filter(|to| *to != own).collect();
        effects.extend(others.into_iter().map(|to| FoundingEffect::Send {
            to: to.clone(),
            message: FoundingMessage::Chosen(founders.clone()),
        }));
    }
}

fn join<'a>(names: impl Iterator<Item = &'a Name>) -> String {
    names.map(|name| &**name).collect::<Vec<_>>().join(", ")
}
