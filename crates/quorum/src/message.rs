use super::*;

/// Messages between members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or in a pre-vote whether it would be given.
    Ask {
        /// Term to be elected in.
        term: Term,
        /// Whether nothing is promised yet.
        pre: bool,
        /// Whether the leader of the term before has yielded to the candidate, so that nobody needs to
        /// wait for it.
        yielded: bool,
        /// Index of the candidate's last entry.
        last_index: Index,
        /// Term of the candidate's last entry.
        last_term: Term,
    },
    /// Answers `Ask`.
    Vote {
        /// Term asked for, or a higher one that the voter has seen.
        term: Term,
        /// Whether it answers a pre-vote.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
        /// Disk that keeps the vote.
        disk: DiskId,
    },
    /// The sender leads no longer, and the receiver is to be elected.
    Yield {
        /// Term in which the sender led.
        term: Term,
    },
    /// Appends entries, and serves as heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Index before the first entry.
        prev_index: Index,
        /// Term of the entry at `prev_index`.
        prev_term: Term,
        /// Entries in order.
        entries: Vec<Entry>,
        /// Highest index that the leader knows committed.
        commit: Index,
        /// Highest index that is in force on every member.
        forced: Index,
        /// Leader's clock when it sent this.
        sent: Time,
        /// Member's clock as it last reported, present while the leader may grant leases.
        echo: Option<Stamp>,
    },
    /// Answers a message of a leader whose term is over.
    Refused {
        /// Term of the member.
        term: Term,
    },
    /// Answers `Append`.
    Appended {
        /// Term of the member.
        term: Term,
        /// Whether the entry at `prev_index` was there.
        matched: bool,
        /// Last index that matches, or where the leader should try next.
        index: Index,
        /// Highest index that the member has applied.
        applied: Index,
        /// `sent` of the message answered.
        sent: Time,
        /// Member's clock.
        stamp: Stamp,
        /// Disk that the member has.
        disk: Option<DiskId>,
    },
    /// Part of a snapshot, for a member that lags behind the log; serves as heartbeat.
    Chunk {
        /// Term of the leader.
        term: Term,
        /// Index of the snapshot.
        index: Index,
        /// Term of the entry at `index`.
        last_term: Term,
        /// Members after that entry.
        members: Members,
        /// Bytes of the whole snapshot.
        size: usize,
        /// Bytes before `data`.
        offset: usize,
        /// Bytes of the snapshot; may be empty.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
        /// Leader's clock when it sent this.
        sent: Time,
    },
    /// Answers `Chunk` while the snapshot is not whole.
    Received {
        /// Term of the member.
        term: Term,
        /// Index of the snapshot.
        index: Index,
        /// Bytes that the member has.
        offset: usize,
        /// `sent` of the message answered.
        sent: Time,
        /// Member's clock.
        stamp: Stamp,
        /// Disk that the member has.
        disk: Option<DiskId>,
    },
}
