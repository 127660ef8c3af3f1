use super::*;

/// A request that has no final answer yet.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) request: Request,
    /// Number of its service's dispatcher.
    pub(crate) dispatcher: usize,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Time,
    /// Slots that it had before.
    pub(crate) turn: u32,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    /// Where the last attempt failed.
    pub(crate) avoid: Option<Avoid>,
    /// When it last asked for a slot.
    pub(crate) sought: Time,
    pub(crate) phase: Phase,
    /// Claim that it holds.
    pub(crate) claim: Option<Claim>,
    /// Daemons that want to know what becomes of it.
    pub(crate) askers: Vec<(Name, Question)>,
}

impl Pending {
    /// Daemons told as soon as the request is answered; further ones ask again.
    const MAX_ASKERS: usize = 16;

    pub(crate) fn add_asker(&mut self, daemon: Name, question: Question) {
        let asker = (daemon, question);
        if self.askers.len() < Self::MAX_ASKERS && !self.askers.contains(&asker) {
            self.askers.push(asker);
        }
    }

    pub(crate) fn ticket(&self) -> Ticket {
        Ticket { request: self.request.id, turn: self.turn }
    }

    /// What it asks of whoever grants slots.
    pub(crate) fn want(&self, now: Time) -> Want {
        Want {
            ticket: self.ticket(),
            kind: self.request.kind.clone(),
            tenant: self.request.tenant.clone(),
            left: self.deadline.saturating_sub(now),
            avoid: self.avoid.clone(),
        }
    }
}
