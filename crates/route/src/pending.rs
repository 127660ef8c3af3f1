use super::*;

/// A request that has no final answer yet.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) request: Request,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Time,
    pub(crate) attempts: u32,
    pub(crate) phase: Phase,
    /// Claim that it holds or wants.
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
}
