use super::*;

/// An attempt that runs, with the slot that it holds.
#[derive(Debug, Clone)]
pub(crate) struct Flight {
    pub(crate) dispatcher: usize,
    pub(crate) ticket: Ticket,
    pub(crate) instance: Name,
    pub(crate) rack: Name,
    pub(crate) kind: Name,
    pub(crate) started: Time,
    pub(crate) deadline: Time,
    /// Until when the slot may be passed on to requests whose deadline comes no later.
    pub(crate) tenure: Time,
}
