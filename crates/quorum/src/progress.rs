use super::*;

/// What the leader knows of another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// Disk that the member has.
    pub disk: Option<DiskId>,
    /// Highest index known to match.
    pub matched: Index,
    /// Next index to send.
    pub next: Index,
    /// Highest index that the member has applied.
    pub applied: Index,
    /// When the leader last sent a message.
    pub sent: Time,
    /// When the leader last went back to what the member lacks.
    pub went_back: Time,
    /// When the leader sent the last message that was answered.
    pub last_acked_send: Option<Time>,
    /// Member's clock in its last answer.
    pub stamp: Option<Stamp>,
    /// When every view lease that the member may hold has surely run out: a lease counts from a
    /// clock that the member read before the leader heard of it.
    pub granted_until: Time,
    /// Snapshot on its way to the member.
    pub transfer: Option<Transfer>,
}

impl Progress {
    pub(crate) fn new(next: Index, granted_until: Time) -> Self {
        Self {
            disk: None,
            matched: 0,
            next,
            applied: 0,
            sent: Time::ZERO,
            went_back: Time::ZERO,
            last_acked_send: None,
            stamp: None,
            granted_until,
            transfer: None,
        }
    }
}
