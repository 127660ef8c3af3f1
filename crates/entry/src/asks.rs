//! Calls on their way to whoever leads. Every call may be repeated: a job is known by its id, a
//! configuration by its version, a wave by its number.

use super::*;

/// The calls of this daemon's edges, and where the leader is.
#[derive(Debug, Default)]
pub(crate) struct Asks {
    waiting: BTreeMap<Ticket, Ask>,
    /// Who leads, as far as this daemon knows.
    pub(crate) leader: Option<Name>,
    /// Daemons that may know who leads.
    pub(crate) known: BTreeSet<Name>,
    /// Daemons that take part in the agreement, as one of them said last.
    pub(crate) members: BTreeSet<Name>,
    turn: usize,
    /// When a peer last answered.
    pub(crate) heard: Option<Time>,
    /// When a leader last said that it serves.
    pub(crate) served: Option<Time>,
}

impl Asks {
    /// After which a call that had no answer is sent again.
    const RESEND: Duration = Duration::from_millis(350);
    /// After which a daemon that hears nobody takes it that it is cut off; two pings and their answers.
    const SILENCE: Duration = Duration::from_millis(900);
    /// How long after the last word of a leader that serves calls are still kept for it or its successor; a
    /// change of leader takes less.
    pub(crate) const UNLED: Duration = Duration::from_millis(1400);
    /// Of how many questions one goes to any daemon known, and not to a member.
    const ELSEWHERE: usize = 4;
    /// When to come back after there was no leader.
    pub(crate) const RETRY: Duration = Duration::from_secs(1);

    /// Calls of a daemon that knows only its seeds.
    pub(crate) fn new(seeds: &[Name]) -> Self {
        Self { known: seeds.iter().cloned().collect(), ..Self::default() }
    }

    pub(crate) fn insert(&mut self, ticket: Ticket, call: Call, until: Time) {
        let ask = Ask { call, until, sent: None, may_have_run: false };
        self.waiting.insert(ticket, ask);
    }

    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<Ask> {
        self.waiting.remove(&ticket)
    }

    pub(crate) fn tickets(&self) -> Vec<Ticket> {
        self.waiting.keys().copied().collect()
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Ask> {
        self.waiting.get(&ticket)
    }

    /// Who leads, if it has said so a moment ago.
    pub(crate) fn present_leader(&self, now: Time) -> Option<Name> {
        let fresh = self.served.is_some_and(|at| now < at + Self::SILENCE);
        self.leader.clone().filter(|_| fresh)
    }

    /// Someone who may lead, or know who does.
    pub(crate) fn whom(&mut self, own: &Name) -> Option<Name> {
        if let Some(leader) = self.leader.clone().filter(|leader| leader != own) {
            return Some(leader);
        }
        self.turn += 1;
        // Members know best; now and then somebody else is asked, in case all of them are gone.
        let elsewhere = self.members.is_empty() || self.turn.is_multiple_of(Self::ELSEWHERE);
        let asked = if elsewhere { &self.known } else { &self.members };
        let others: Vec<_> = asked.iter().filter(|name| *name != own).collect();
        others.get(self.turn % others.len().max(1)).map(|name| (*name).clone())
    }

    /// Takes word that `from` does not lead, but perhaps `leader`.
    pub(crate) fn elsewhere(&mut self, ticket: Ticket, from: &Name, leader: Option<Name>) {
        if leader.is_some() && leader.as_ref() != Some(from) {
            self.leader = leader;
        } else if self.leader.as_ref() == Some(from) {
            self.leader = None;
        }
        if let Some(ask) = self.waiting.get_mut(&ticket)
            && ask.sent.as_ref().is_some_and(|(to, _)| to == from)
        {
            ask.may_have_run = false;
            ask.sent = None;
        }
    }

    /// Whether nobody is in reach who could serve a call: no daemon, or for long no leader.
    fn is_stranded(&self, now: Time) -> bool {
        let silent = self.heard.is_some_and(|heard| now > heard + Self::SILENCE);
        silent || self.served.is_some_and(|served| now > served + Self::UNLED)
    }

    /// Sends the call `ticket`, if it is due; refuses it at once where nobody can serve it.
    pub(crate) fn send(&mut self, now: Time, own: &Name, ticket: Ticket) -> Option<Effect> {
        let ask = self.waiting.get(&ticket)?;
        if ask.sent.is_none() && !ask.may_have_run && self.is_stranded(now) {
            self.waiting.remove(&ticket);
            let answer = Answer::NotRun { retry: Self::RETRY };
            return Some(Effect::Answer { ticket, answer });
        }
        if ask.sent.as_ref().is_some_and(|(_, at)| now < *at + Self::RESEND) {
            return None;
        }
        if let Some((to, _)) = &ask.sent
            && self.leader.as_ref() == Some(to)
        {
            self.leader = None;
        }
        let to = self.whom(own)?;
        let ask = self.waiting.get_mut(&ticket)?;
        ask.sent = Some((to.clone(), now));
        ask.may_have_run = true;
        let message = Message::Ask { ticket, call: ask.call.clone() };
        Some(Effect::Send { to, message })
    }

    /// Takes every call whose edge has given up.
    pub(crate) fn give_up(&mut self, now: Time) -> Vec<(Ticket, Call, Answer)> {
        let late = self.waiting.extract_if(.., |_, ask| ask.until <= now);
        let answer = |ask: &Ask| {
            if ask.may_have_run { Answer::Unknown } else { Answer::NotRun { retry: Self::RETRY } }
        };
        late.map(|(ticket, ask)| (ticket, ask.call.clone(), answer(&ask))).collect()
    }
}
