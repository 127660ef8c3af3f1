//! Raft consensus: the replicated log, elections, membership changes and snapshots. A pure state
//! machine that turns events into effects, without a clock or I/O of its own. Terms, pre-vote, log
//! matching, and commit restricted to entries of the leader's own term follow Ongaro and
//! Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
//!
//! Heartbeats maintain two kinds of lease. The leader lease: a leader steps down unless a majority
//! has answered within [`Timing::LEADER_LEASE`], and a voter grants no vote to another member
//! within [`Timing::MIN_ELECTION_TIMEOUT`] of hearing from the leader, unless the leader has
//! transferred leadership to that member. The view lease: every member may act on the configuration
//! that it has applied while its view lease is valid. A view lease starts at the moment at which
//! the member sent the message whose timestamp the leader echoes, so clocks need not be
//! synchronised.
//!
//! An entry is in force once every member that may hold a view lease has applied it. The highest
//! such index is called `forced` in fields and messages.

use {
    derive_more::Display,
    model::{Index, Name, Time},
    rand::Rng,
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

mod ballot;
mod change;
mod effect;
mod election;
mod election_state;
mod entry;
mod event;
mod follower;
mod founding;
mod leader;
mod limits;
mod log;
mod member;
mod members;
mod membership;
mod message;
mod persistent_state;
mod progress;
mod record;
mod refusal;
mod role;
mod snapshot;
mod snapshot_transfer;
mod snapshots;
mod stamp;
mod state;
mod timer;
mod timing;

pub use {
    ballot::Ballot, change::Change, effect::Effect, election_state::ElectionState, entry::Entry,
    event::Event, founding::Founding, limits::Limits, log::Log, member::Member, members::Members,
    message::Message, persistent_state::PersistentState, progress::Progress, record::Record,
    refusal::Refusal, role::Role, snapshot::Snapshot, snapshot_transfer::SnapshotTransfer,
    stamp::Stamp, state::State, timer::Timer, timing::Timing,
};

/// Raft term: numbers elections, and grows with each.
pub type Term = u64;

/// Random identity of a data folder, used to detect a voter that has lost its disk.
pub type DiskId = u64;

/// The first voters of a fleet, with their disks.
pub type Founders = BTreeMap<Name, DiskId>;
