use super::*;

/// Replication progress of another member, tracked by the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// Time since which the leader has tracked the member.
    pub since: Time,
    /// Disk that the member last reported.
    pub disk: Option<DiskId>,
    /// Highest index known to match the leader's log.
    pub matched: Index,
    /// Index of the next entry to send.
    pub next: Index,
    /// Last index that the member reported as applied.
    pub applied: Index,
    /// Time of the last message sent to the member.
    pub last_sent: Time,
    /// Time of the last rewind of `next` after a mismatch; answers to earlier messages cause no
    /// further rewind.
    pub rewound_at: Time,
    /// Send time of the latest message that the member has answered.
    pub last_acked_send: Option<Time>,
    /// The member's timestamp in its last answer.
    pub stamp: Option<Stamp>,
    /// Time by which any view lease of the member has certainly expired: its lease starts from a
    /// timestamp that it took before the leader received it.
    pub view_lease_bound: Time,
    /// Snapshot transfer in progress.
    pub transfer: Option<SnapshotTransfer>,
}

impl Progress {
    pub(crate) fn new(now: Time, next: Index) -> Self {
        Self {
            since: now,
            disk: None,
            matched: 0,
            next,
            applied: 0,
            last_sent: Time::ZERO,
            rewound_at: Time::ZERO,
            last_acked_send: None,
            stamp: None,
            view_lease_bound: now + Timing::VIEW_LEASE + Timing::CLOCK_DRIFT,
            transfer: None,
        }
    }
}
