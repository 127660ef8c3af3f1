use super::*;

/// An attempt in progress and the slot that it uses.
#[derive(Debug, Clone)]
pub(crate) struct RunningAttempt {
    /// Index of the dispatcher of its service.
    pub(crate) dispatcher: usize,
    pub(crate) ticket: Ticket,
    pub(crate) instance: Name,
    pub(crate) rack: Name,
    pub(crate) kind: Name,
    pub(crate) started: Time,
    pub(crate) deadline: Time,
    /// Latest deadline of a request to which the slot may be passed on directly, without a new
    /// grant from the broker.
    pub(crate) reusable_until: Time,
}
