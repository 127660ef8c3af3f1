use super::*;

/// Messages between members. Variants and fields are encoded by position, and recordings hash their
/// names, so neither may change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote, or asks in a pre-vote whether it would be granted.
    Ask {
        /// Term of the election.
        term: Term,
        /// Whether this is a pre-vote, whose answers bind no voter.
        pre: bool,
        /// Whether the previous leader has transferred leadership to the candidate, so that voters
        /// need not wait for the election timeout.
        yielded: bool,
        /// Index of the candidate's last entry.
        last_index: Index,
        /// Term of the candidate's last entry.
        last_term: Term,
    },
    /// Answer to `Ask`.
    Vote {
        /// Term of the request if granted, else the current term of the voter.
        term: Term,
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
        /// Disk on which the vote is stored.
        disk: DiskId,
    },
    /// Leadership transfer: the sender has stepped down, and the receiver should start an election
    /// at once.
    Yield {
        /// Term in which the sender was leader.
        term: Term,
    },
    /// Appends entries; also serves as heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Index of the entry just before `entries`.
        prev_index: Index,
        /// Term of the entry at `prev_index`.
        prev_term: Term,
        /// Consecutive entries.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: Index,
        /// Highest index that every member with a valid view lease has applied.
        forced: Index,
        /// Leader's clock at sending; returned in the answer.
        sent: Time,
        /// The receiver's last reported timestamp, from which its view lease starts; `None` while
        /// the leader may not grant leases.
        echo: Option<Stamp>,
    },
    /// Rejects a message of an outdated leader.
    Refused {
        /// Current term of the sender.
        term: Term,
    },
    /// Answer to `Append`.
    Appended {
        /// Current term of the sender.
        term: Term,
        /// Whether the log contains the entry at `prev_index` with term `prev_term`.
        matched: bool,
        /// Last matching index, or the index from which the leader should continue.
        index: Index,
        /// Last index that the sender has applied.
        applied: Index,
        /// The leader's `sent` timestamp of the message that this answers.
        sent: Time,
        /// Sender's clock.
        stamp: Stamp,
        /// Sender's disk.
        disk: Option<DiskId>,
    },
    /// Part of a snapshot, for a member that needs compacted entries; also serves as heartbeat.
    Chunk {
        /// Term of the leader.
        term: Term,
        /// Last log index that the snapshot includes.
        index: Index,
        /// Term of the entry at `index`.
        last_term: Term,
        /// Membership as of that entry.
        members: Members,
        /// Total size of the snapshot in bytes.
        size: usize,
        /// Position of `data` in the snapshot, in bytes.
        offset: usize,
        /// Snapshot bytes from `offset` on; may be empty.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
        /// Leader's clock at sending; returned in the answer.
        sent: Time,
    },
    /// Answer to `Chunk` while the snapshot is incomplete.
    Received {
        /// Current term of the sender.
        term: Term,
        /// Last log index that the snapshot includes.
        index: Index,
        /// Bytes received so far.
        offset: usize,
        /// The leader's `sent` timestamp of the message that this answers.
        sent: Time,
        /// Sender's clock.
        stamp: Stamp,
        /// Sender's disk.
        disk: Option<DiskId>,
    },
}

impl Message {
    /// Maximum bytes of commands in a message that `later` was added to.
    const MAX_MERGED_BYTES: usize = 128 * 1024;

    /// Adds a later message of the same leader to this one, if both append entries and those of
    /// `later` follow those of this message. The receiver then has the same entries, and answers once.
    /// Returns `later` if it cannot be added.
    pub fn merge(&mut self, later: Self) -> Result<(), Self> {
        let Self::Append { term, prev_index, entries, .. } = &*self else { return Err(later) };
        let last = prev_index + entries.len() as Index;
        let bytes = |entries: &[Entry]| -> usize { entries.iter().map(|e| e.command.len()).sum() };
        let continues = match &later {
            Self::Append { term: later_term, prev_index, entries: more, .. } => {
                later_term == term
                    && *prev_index == last
                    && bytes(entries) + bytes(more) <= Self::MAX_MERGED_BYTES
            }
            _ => false,
        };
        if !continues {
            return Err(later);
        }
        if let (
            Self::Append { entries, commit, forced, sent, echo, .. },
            Self::Append {
                entries: more,
                commit: later_commit,
                forced: later_forced,
                sent: later_sent,
                echo: later_echo,
                ..
            },
        ) = (self, later)
        {
            entries.extend(more);
            (*commit, *forced) = (later_commit, later_forced);
            (*sent, *echo) = (later_sent, later_echo);
        }
        Ok(())
    }
}
