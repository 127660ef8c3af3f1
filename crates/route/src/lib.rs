//! A caller's request from arrival to answer: admission, queueing, dispatch to an upstream, and
//! what may be said of a request that got no answer. A pure reducer; bodies stay at the edge, which
//! knows them by request and attempt.
//!
//! Requests queue for the slots of a service at its broker, a daemon that the roster in the
//! replicated log names for a term. The broker grants slots; the daemon that got the request sends
//! it. A new broker asks every daemon what it holds, and sets aside what the silent ones may hold
//! until nothing of a former term can be in use.

use {
    derive_more::Display,
    model::{Announcement, Config, Map, Name, Time},
    rand::Rng,
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, VecDeque},
        ops::Bound::{Excluded, Unbounded},
        sync::Arc,
        time::Duration,
    },
    twox_hash::XxHash64,
};

mod answer;
mod attempt;
mod avoid;
mod busy;
mod claim;
mod claim_decision;
mod claim_result;
mod claiming;
mod claims;
mod command;
mod decision;
mod dispatcher;
mod effect;
mod estimate;
mod event;
mod fate;
mod fingerprint;
mod flight;
mod granting;
mod held;
mod line;
mod message;
mod note;
mod outbox;
mod outcome;
mod owners;
mod parcel;
mod pending;
mod phase;
mod policy;
mod pool;
mod question;
mod queue;
mod reason;
mod refusal;
mod replicated_state;
mod report;
mod request;
mod roster;
mod settled;
mod shard;
mod state;
mod ticket;
mod timer;
mod upstream;
mod waiting;
mod want;

pub use {
    answer::Answer, attempt::Attempt, avoid::Avoid, claim::Claim, claim_decision::ClaimDecision,
    claim_result::ClaimResult, claims::Claims, command::Command, decision::Decision,
    effect::Effect, event::Event, fate::Fate, fingerprint::Fingerprint, held::Held,
    message::Message, note::Note, outcome::Outcome, parcel::Parcel, policy::Policy,
    question::Question, reason::Reason, replicated_state::ReplicatedState, report::Report,
    request::Request, roster::Roster, shard::Shard, state::State, ticket::Ticket, timer::Timer,
    want::Want,
};
use {
    busy::Busy,
    dispatcher::Dispatcher,
    estimate::Estimate,
    flight::Flight,
    line::Line,
    outbox::Outbox,
    owners::Owners,
    pending::Pending,
    phase::Phase,
    pool::{LEASE_MARGIN, Pool, TENURE},
    queue::Queue,
    refusal::Refusal,
    settled::Settled,
    upstream::Upstream,
    waiting::Waiting,
};

/// Number of a request at its daemon.
pub type RequestId = u64;

/// Number of an attempt at its daemon.
pub type AttemptId = u64;

/// Number of a daemon's start at a broker.
pub(crate) type Owner = u32;
