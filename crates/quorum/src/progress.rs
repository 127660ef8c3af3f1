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
    /// Since when entries that were sent have not been answered; `None` if all were.
    pub unanswered_since: Option<Time>,
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
            unanswered_since: None,
            rewound_at: Time::ZERO,
            last_acked_send: None,
            stamp: None,
            view_lease_bound: now + Timing::VIEW_LEASE + Timing::CLOCK_DRIFT,
            transfer: None,
        }
    }

    /// Records an answer that the log of the member matches up to `index`.
    pub(crate) fn record_match(&mut self, now: Time, index: Index) {
        if index > self.matched {
            self.matched = index;
            self.unanswered_since = Some(now);
        }
        self.next = self.next.max(self.matched + 1);
        self.unanswered_since = self.unanswered_since.filter(|_| self.matched + 1 < self.next);
    }

    /// Records an answer that the log of the member must be sent again from `index` on.
    pub(crate) fn rewind(&mut self, now: Time, index: Index, last: Index) {
        self.matched = self.matched.min(index);
        self.next = index.min(last) + 1;
        self.rewound_at = now;
        self.unanswered_since = None;
    }
}
