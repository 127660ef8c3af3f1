use super::*;

/// A proposal that was not seen applied yet.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) proposal: Proposal,
    pub(crate) caller: Option<Caller>,
    pub(crate) proposed: Time,
}

/// Who waits for a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Caller {
    Operator(Ticket),
    Upstream(Ticket),
}
