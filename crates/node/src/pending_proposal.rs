use super::*;

/// A proposal that this daemon has not seen applied yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingProposal {
    pub(crate) proposal: Proposal,
    /// `None` if the daemon made the proposal on its own.
    pub(crate) waiter: Option<Waiter>,
    /// When the proposal was made.
    pub(crate) proposed: Time,
    /// When it is sent to the leader again.
    pub(crate) retry_at: Time,
    /// Delay from then until it is sent once more.
    pub(crate) retry_delay: Duration,
}

/// The call that waits for the result of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Waiter {
    Operator(Ticket),
    Upstream(Ticket),
}
