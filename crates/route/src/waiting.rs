use super::*;

/// A want in a queue.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) owner: Owner,
    pub(crate) ticket: Ticket,
    pub(crate) kind: Name,
    pub(crate) tenant: Name,
    pub(crate) deadline: Time,
    pub(crate) avoid: Option<Avoid>,
    /// Expected run time, in microseconds.
    pub(crate) work: u64,
    /// Worth of a microsecond of run time; higher goes first.
    pub(crate) rank: u64,
    /// Latest start that still meets the deadline.
    pub(crate) last_chance: Time,
}
