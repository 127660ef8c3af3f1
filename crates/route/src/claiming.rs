//! Non-idempotent requests with a key. Such a request is claimed in the log before it runs. For a
//! resend, the daemon that holds the claim is asked for the first answer.

use super::*;

/// Interval at which a resend repeats its question to the holder of the claim.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a reply from the holder after which a resend gives up on the first answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

impl State {
    /// Proposes a claim for `request`. The log grants it unless another request holds the key.
    pub(crate) fn claim(&self, request: &Request, effects: &mut Vec<Effect>) {
        let Some(key) = &request.key else { return };
        let claim = Claim {
            key: key.clone(),
            tenant: request.tenant.clone(),
            fingerprint: request.fingerprint,
            holder: self.id.clone(),
            boot: self.boot,
            request: request.id,
        };
        effects.push(Effect::Propose(Command::Claim(claim)));
    }

    /// Continues a request whose claim is decided. A claim granted after its request was answered
    /// is released, since that request will not run.
    pub(crate) fn on_claim_decision(
        &mut self,
        now: Time,
        decision: ClaimDecision,
        effects: &mut Vec<Effect>,
    ) {
        let ClaimDecision { claim, result } = decision;
        if claim.holder != self.id || claim.boot != self.boot {
            return;
        }
        let id = claim.request;
        let pending = self.pending.get_mut(&id).filter(|it| it.phase == Phase::Claiming);
        let Some(pending) = pending else {
            if result == ClaimResult::Granted {
                effects.push(Effect::Propose(Command::Release(claim)));
            }
            return;
        };
        match result {
            ClaimResult::Granted => {
                pending.claim = Some(claim);
                self.enqueue(now, id, effects);
            }
            ClaimResult::Taken(first) => self.ask_first(now, id, &first, effects),
            ClaimResult::Mismatch(reason) => self.refuse(now, id, reason, effects),
            ClaimResult::Full => self.refuse(now, id, Reason::TooManyClaims, effects),
        }
    }

    /// Handles a message of another daemon.
    pub(crate) fn on_message(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Ask(question) => self.tell(now, from, question, effects),
            Message::Tell { question, fate } => self.on_tell(now, &from, question, fate, effects),
            Message::Slots(parcel) => self.on_parcel(now, from, parcel, effects),
        }
    }

    /// Repeats the question of a resend, or gives up if the holder has not replied within
    /// [`ASK_TIMEOUT`].
    pub(crate) fn ask_again(&mut self, now: Time, resend: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&resend) else { return };
        let Phase::Asking { holder, question, last_reply } = pending.phase.clone() else { return };
        if now >= last_reply + ASK_TIMEOUT {
            return self.finish(now, resend, Outcome::Unknown(Reason::OutcomeLost), effects);
        }
        self.ask(now, holder, question, effects);
    }

    /// Answers the questions that arrived while a claimed request had no final answer.
    pub(crate) fn tell_askers(
        &mut self,
        now: Time,
        askers: Vec<(Name, Question)>,
        effects: &mut Vec<Effect>,
    ) {
        for (daemon, question) in askers {
            self.tell(now, daemon, question, effects);
        }
    }

    /// Asks the holder of the first claim for the answer.
    fn ask_first(&mut self, now: Time, resend: RequestId, first: &Claim, out: &mut Vec<Effect>) {
        let question = Question {
            resend,
            asker_boot: self.boot,
            first: first.request,
            holder_boot: first.boot,
        };
        let holder = first.holder.clone();
        let Some(pending) = self.pending.get_mut(&resend) else { return };
        pending.phase = Phase::Asking { holder: holder.clone(), question, last_reply: now };
        self.ask(now, holder, question, out);
    }

    /// Sends a question, and sets the timer to repeat it.
    fn ask(&mut self, now: Time, holder: Name, question: Question, effects: &mut Vec<Effect>) {
        let timer = Timer::Ask(question.resend);
        effects.push(Effect::Subscribe { timer, after: ASK_INTERVAL });
        if holder == self.id {
            return self.tell(now, holder, question, effects);
        }
        effects.push(Effect::Send { to: holder, message: Message::Ask(question) });
    }

    /// Answers a question about a request of this daemon.
    fn tell(&mut self, now: Time, to: Name, question: Question, effects: &mut Vec<Effect>) {
        let ran = self.outcome_of(question).is_some_and(|it| matches!(it, Outcome::Run(_)));
        if ran && to == self.id {
            let outcome = Outcome::Kept(question.first);
            return self.finish(now, question.resend, outcome, effects);
        }
        if ran {
            return effects.push(Effect::Share { to, question });
        }
        let fate = self.fate(&to, question, effects);
        if to == self.id {
            return self.on_tell(now, &to, question, fate, effects);
        }
        effects.push(Effect::Send { to, message: Message::Tell { question, fate } });
    }

    /// Final outcome of the request in question, if this start of the daemon has it.
    fn outcome_of(&self, question: Question) -> Option<&Outcome> {
        let same_boot = question.holder_boot == self.boot;
        same_boot
            .then(|| self.claimed_outcomes.get(question.first))
            .flatten()
            .map(|(_, outcome)| outcome)
    }

    /// Fate of a request whose answer this daemon does not have. The claim of one that did not run
    /// is released, so that the resend can claim the key.
    fn fate(&mut self, asker: &Name, question: Question, effects: &mut Vec<Effect>) -> Fate {
        if question.holder_boot != self.boot {
            return Fate::Unknown(Reason::OutcomeLost);
        }
        if let Some(pending) = self.pending.get_mut(&question.first) {
            pending.add_asker(asker.clone(), question);
            return Fate::Pending;
        }
        match self.claimed_outcomes.get(question.first) {
            Some((claim, Outcome::NotRun { .. })) => {
                effects.push(Effect::Propose(Command::Release(claim.clone())));
                Fate::NotRun
            }
            Some((_, Outcome::Unknown(reason))) => Fate::Unknown(*reason),
            _ => Fate::Unknown(Reason::OutcomeLost),
        }
    }

    /// Handles the reply to a question. If the first request did not run, the resend claims the
    /// key.
    fn on_tell(
        &mut self,
        now: Time,
        from: &Name,
        question: Question,
        fate: Fate,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&question.resend) else { return };
        let Phase::Asking { holder, question: asked, last_reply } = &mut pending.phase else {
            return;
        };
        if holder != from || *asked != question {
            return;
        }
        let outcome = match fate {
            Fate::Pending => {
                *last_reply = now;
                return;
            }
            Fate::Run(answer) => Outcome::Passed(answer),
            Fate::NotRun => {
                pending.phase = Phase::Claiming;
                let request = pending.request.clone();
                return self.claim(&request, effects);
            }
            Fate::Unknown(reason) => Outcome::Unknown(reason),
        };
        self.finish(now, question.resend, outcome, effects);
    }
}
