//! Forwards calls to the leader. Every call is idempotent and may be sent again: a job is
//! identified by its id, a configuration by its version, a wave by its id.

use super::*;

/// Calls received by this daemon that wait for an answer, and what is known about the leader.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    waiting: BTreeMap<CallTicket, PendingCall>,
    /// The leader, as far as this daemon knows.
    pub(crate) leader: Option<Name>,
    /// Daemons that may know the leader.
    pub(crate) known: BTreeSet<Name>,
    /// Members of the quorum, as last reported by one of them.
    pub(crate) members: BTreeSet<Name>,
    /// Counts the choices of a peer, to take turns.
    next_peer: usize,
    /// Counts the checks whether another member is asked.
    next_other_member: usize,
    /// When a peer last answered.
    pub(crate) last_heard: Option<Time>,
    /// When a leader last reported that it serves calls.
    pub(crate) last_served: Option<Time>,
    pub(crate) clocks: PeerClocks,
    /// Whether the leader wants to be asked less often.
    pub(crate) large_fleet: bool,
    /// How long the leader wants results of orders to be held.
    pub(crate) order_hold: Duration,
}

impl PendingCalls {
    /// Delay before a call that was not answered is sent again.
    const RESEND_DELAY: Duration = Duration::from_millis(350);
    /// The same while the leader that has the call reports that it serves calls. It is late, and
    /// repeated calls would only add to its work; only a lost connection can have lost the call.
    const RESEND_DELAY_WHILE_SERVED: Duration = Duration::from_millis(1000);
    /// A leader that reported within this time that it serves calls is taken to be alive; longer than
    /// the interval at which it is asked in a large fleet.
    const SERVING_TIMEOUT: Duration = Duration::from_millis(700);
    /// A daemon that gets no answer from any peer for this long considers itself disconnected. Long
    /// enough for two pings and their answers.
    const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
    /// How long calls are kept for the leader or its successor after the last report of a serving
    /// leader; longer than a change of leader takes.
    pub(crate) const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1400);
    /// Without a known leader, every fourth request goes to any known daemon, the others to
    /// members.
    const ASK_ANY_INTERVAL: usize = 4;
    /// While the leader is known, another member is asked as well every so many times.
    const OTHER_MEMBER_INTERVAL: usize = 4;
    /// Delay after which clients are told to retry when there is no leader.
    pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Starts with the seeds as the only known daemons.
    pub(crate) fn new(seeds: &[Name]) -> Self {
        Self { known: seeds.iter().cloned().collect(), ..Self::default() }
    }

    pub(crate) fn insert(&mut self, ticket: CallTicket, call: Call, until: Time) {
        self.waiting.insert(ticket, PendingCall::new(call, until));
    }

    /// Gives every call a deadline within the stop.
    pub(crate) fn bound(&mut self, stop: &stop::Plan) {
        for pending in self.waiting.values_mut() {
            pending.until = stop.bound(pending.until);
        }
    }

    pub(crate) fn take(&mut self, ticket: CallTicket) -> Option<PendingCall> {
        self.waiting.remove(&ticket)
    }

    pub(crate) fn tickets(&self) -> Vec<CallTicket> {
        self.waiting.keys().copied().collect()
    }

    pub(crate) fn get(&self, ticket: CallTicket) -> Option<&PendingCall> {
        self.waiting.get(&ticket)
    }

    /// The leader, if it has reported recently that it serves calls.
    pub(crate) fn recent_leader(&self, now: Time) -> Option<Name> {
        let fresh = self.last_served.is_some_and(|at| now < at + Self::DISCONNECT_TIMEOUT);
        self.leader.clone().filter(|_| fresh)
    }

    /// Whether the leader has reported lately that it serves calls.
    fn leader_serves(&self, now: Time) -> bool {
        self.last_served.is_some_and(|at| now < at + Self::SERVING_TIMEOUT)
    }

    /// A peer that may be the leader or know it.
    pub(crate) fn choose_peer(&mut self, own: &Name) -> Option<Name> {
        if let Some(leader) = self.leader.clone().filter(|leader| leader != own) {
            return Some(leader);
        }
        self.next_peer += 1;
        // Members know the leader best. Other daemons are asked now and then, in case all known
        // members are gone.
        let ask_any =
            self.members.is_empty() || self.next_peer.is_multiple_of(Self::ASK_ANY_INTERVAL);
        let peers = if ask_any { &self.known } else { &self.members };
        let others: Vec<_> = peers.iter().filter(|name| *name != own).collect();
        others.get(self.next_peer % others.len().max(1)).map(|name| (*name).clone())
    }

    /// Now and then, a member that does not lead, to hear of this daemon in case it leads next.
    pub(crate) fn choose_other_member(&mut self, own: &Name) -> Option<Name> {
        self.next_other_member += 1;
        let leader = self.leader.as_ref()?;
        if !self.next_other_member.is_multiple_of(Self::OTHER_MEMBER_INTERVAL) {
            return None;
        }
        let others = self.members.iter().filter(|name| *name != own && *name != leader);
        let others: Vec<_> = others.collect();
        let turn = self.next_other_member / Self::OTHER_MEMBER_INTERVAL;
        others.get(turn % others.len().max(1)).map(|name| (*name).clone())
    }

    /// Handles the answer of `from` that it does not lead; `leader` is the one that it knows of.
    pub(crate) fn on_not_leader(&mut self, ticket: CallTicket, from: &Name, leader: Option<Name>) {
        if leader.is_some() && leader.as_ref() != Some(from) {
            self.leader = leader;
        } else if self.leader.as_ref() == Some(from) {
            self.leader = None;
        }
        self.on_not_carried_out(ticket, from);
    }

    /// Handles the answer of `from` that it has not carried out a call and will not. The call is
    /// due to be sent again.
    pub(crate) fn on_not_carried_out(&mut self, ticket: CallTicket, from: &Name) {
        let Some(pending) = self.waiting.get_mut(&ticket) else { return };
        pending.record_answer(from);
        if pending.sent.as_ref().is_some_and(|(to, _)| to == from) {
            pending.sent = None;
        }
    }

    /// Handles the answer of `from`, and returns the one for the client. A refusal is not passed on
    /// while another daemon may have accepted the call: its answer is waited for.
    pub(crate) fn on_answer(
        &mut self,
        ticket: CallTicket,
        from: &Name,
        answer: Answer,
    ) -> Option<Answer> {
        let pending = self.waiting.get_mut(&ticket)?;
        pending.record_answer(from);
        if answer.is_refusal() && pending.may_have_run() {
            return None;
        }
        self.waiting.remove(&ticket);
        Some(answer)
    }

    /// Whether no daemon that could serve a call is reachable: no peer answers, or no leader has
    /// served for long.
    fn is_unserved(&self, now: Time) -> bool {
        let disconnected =
            self.last_heard.is_some_and(|last_heard| now > last_heard + Self::DISCONNECT_TIMEOUT);
        disconnected
            || self
                .last_served
                .is_some_and(|last_served| now > last_served + Self::LEADERLESS_TIMEOUT)
    }

    /// Sends the call to the leader if it is due; rejects it at once if no daemon can serve it.
    pub(crate) fn send(&mut self, now: Time, own: &Name, ticket: CallTicket) -> Option<Effect> {
        let pending = self.waiting.get(&ticket)?;
        if pending.sent.is_none() && !pending.may_have_run() && self.is_unserved(now) {
            self.waiting.remove(&ticket);
            let answer = Answer::NotRun { retry: Self::RETRY_AFTER };
            return Some(Effect::Answer { ticket, answer });
        }
        if let Some((to, at)) = &pending.sent {
            let is_leader = self.leader.as_ref() == Some(to);
            let serves = is_leader && self.leader_serves(now);
            let delay = if serves {
                Self::RESEND_DELAY_WHILE_SERVED + pending.transfer_time()
            } else {
                Self::RESEND_DELAY
            };
            if now < *at + delay {
                return None;
            }
            if is_leader && !serves {
                self.leader = None;
            }
        }
        let to = self.choose_peer(own)?;
        let pending = self.waiting.get_mut(&ticket)?;
        pending.record_sent(now, to.clone());
        let deadline = self.clocks.translate(&to, pending.until);
        let message = Message::Forward { ticket, call: pending.call.to_forward(), deadline };
        Some(Effect::Send { to, message })
    }

    /// Removes the calls whose client has stopped waiting.
    pub(crate) fn take_expired(&mut self, now: Time) -> Vec<(CallTicket, Call, Answer)> {
        let late = self.waiting.extract_if(.., |_, pending| pending.until <= now);
        let answer = |pending: &PendingCall| {
            if pending.may_have_run() {
                Answer::Unknown
            } else {
                Answer::NotRun { retry: Self::RETRY_AFTER }
            }
        };
        let late = late.map(|(ticket, pending)| {
            let answer = answer(&pending);
            (ticket, pending.call, answer)
        });
        late.collect()
    }
}
