use super::*;

/// A request that has no final answer yet.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) request: Request,
    /// Index of the dispatcher of its service.
    pub(crate) dispatcher: usize,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Time,
    /// Number of slots that it has used or returned; part of its [`Ticket`].
    pub(crate) turn: u32,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    /// Where the last attempt failed.
    pub(crate) avoid: Option<Avoid>,
    /// When it last requested a slot.
    pub(crate) requested_at: Time,
    pub(crate) phase: Phase,
    /// Claim that it holds.
    pub(crate) claim: Option<Claim>,
    /// Daemons to inform of its outcome, with their questions.
    pub(crate) askers: Vec<(Name, Question)>,
}

impl Pending {
    /// Maximum number of daemons informed as soon as the request is answered. Others learn of it
    /// when they ask again.
    const MAX_ASKERS: usize = 16;

    pub(crate) fn add_asker(&mut self, daemon: Name, question: Question) {
        let asker = (daemon, question);
        if self.askers.len() < Self::MAX_ASKERS && !self.askers.contains(&asker) {
            self.askers.push(asker);
        }
    }

    /// Identifies the current slot request.
    pub(crate) fn ticket(&self) -> Ticket {
        Ticket { request: self.request.id, turn: self.turn }
    }

    /// The slot request to send to the broker.
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
