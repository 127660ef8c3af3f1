use super::*;

/// A request in a [`Queue`].
#[derive(Debug, Clone)]
pub(crate) struct QueuedRequest {
    /// Daemon that asked for the slot.
    pub(crate) owner: OwnerId,
    pub(crate) ticket: Ticket,
    pub(crate) kind: Name,
    pub(crate) tenant: Name,
    pub(crate) deadline: Time,
    /// Where an earlier attempt failed.
    pub(crate) avoid: Option<Avoid>,
    /// Expected run time, in microseconds.
    pub(crate) work: u64,
    /// Weight of the kind divided by its expected run time, on a logarithmic scale; requests of a
    /// higher rank are served first.
    pub(crate) rank: u64,
    /// Latest time at which it can start and probably meet its deadline: the deadline less the 95th
    /// percentile of the run time of its kind, or less half of the time left if that is shorter.
    pub(crate) latest_start: Time,
}
