//! The replicated log. A pure reducer: events in, effects out, no clock, no I/O. Terms, pre-vote,
//! log matching and commit only in the leader's own term, after Ongaro and Ousterhout, "In Search
//! of an Understandable Consensus Algorithm" (2014).
//!
//! Two leases ride on the heartbeats. The leader leads only while a majority has answered within
//! [`Timing::LEADER_LEASE`], and no voter helps to elect another within [`Timing::ELECTION_MIN`]
//! of hearing from it. Every daemon holds a view lease, counted from the moment at which it sent
//! the message that the leader echoes, so that no clocks need to agree; while it lasts, the daemon
//! may act on the configuration it has.

use {
    derive_more::Display,
    model::{Index, Name, Time},
    rand::Rng,
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

mod change;
mod effect;
mod election;
mod entry;
mod event;
mod following;
mod leading;
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
mod snapshots;
mod stamp;
mod standing;
mod state;
mod timer;
mod timing;
mod transfer;

pub use {
    change::Change, effect::Effect, entry::Entry, event::Event, limits::Limits, log::Log,
    member::Member, members::Members, message::Message, persistent_state::PersistentState,
    progress::Progress, record::Record, refusal::Refusal, role::Role, snapshot::Snapshot,
    stamp::Stamp, standing::Standing, state::State, timer::Timer, timing::Timing,
    transfer::Transfer,
};

/// Number of an election.
pub type Term = u64;

/// Identity of a disk.
pub type DiskId = u64;
