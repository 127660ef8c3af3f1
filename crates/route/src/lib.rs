//! Routing of callers' requests: admission, queueing, dispatch to an upstream, retries, and the
//! outcome reported for a request that got no answer. [`State`] is a pure reducer of events to
//! effects. It does not see the bodies of requests and answers; the code that carries out the
//! effects stores them under the number of the request or the attempt.
//!
//! Requests queue for the slots of a service at its broker, a daemon that the [`Roster`] in the
//! replicated log assigns for a term. The broker grants slots; the daemon that received the request
//! sends it to the upstream. A new broker asks every daemon which slots it holds. It reserves the
//! slots that daemons without a reply may hold, until no slot granted in an earlier term can be in
//! use.
//!
//! Each start of a daemon has a boot id. It differs between any two starts, so that messages and
//! claims of an earlier start are not taken for those of the current one.
//!
//! A non-idempotent request with a key is claimed in the replicated log before it runs, so that a
//! resend of it gets the first answer instead of running it again.

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
mod claim;
mod claim_decision;
mod claim_result;
mod claimed_outcomes;
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
mod granted_slot;
mod held;
mod message;
mod note;
mod outbox;
mod outcome;
mod owner_table;
mod parcel;
mod pending;
mod phase;
mod policy;
mod pool;
mod question;
mod queue;
mod queued_request;
mod reason;
mod refusal;
mod replicated_state;
mod report;
mod request;
mod roster;
mod running_attempt;
mod shard;
mod slots;
mod state;
mod tenant_queue;
mod ticket;
mod timer;
mod upstream;
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
    claimed_outcomes::ClaimedOutcomes,
    dispatcher::Dispatcher,
    estimate::Estimate,
    granted_slot::GrantedSlot,
    outbox::Outbox,
    owner_table::OwnerTable,
    pending::Pending,
    phase::Phase,
    pool::{CLOCK_DRIFT_MARGIN, Pool, REUSE_WINDOW},
    queue::Queue,
    queued_request::QueuedRequest,
    refusal::Refusal,
    running_attempt::RunningAttempt,
    tenant_queue::TenantQueue,
    upstream::Upstream,
};

/// Number of a request, different from those of other starts of its daemon: a note that names a request
/// of an earlier start names none of this one.
pub type RequestId = u64;

/// The number that a start of a daemon counts its requests from; `boot` is its boot id.
pub fn first_request(boot: u64) -> RequestId {
    boot << REQUEST_BITS
}

/// Number of bits of a request number that are left to the requests of one start.
const REQUEST_BITS: u32 = 32;

/// Number of an attempt, unique within one start of a daemon.
pub type AttemptId = u64;

/// Id that [`OwnerTable`] assigns to one start of a daemon. An owner asks a broker for slots and
/// holds those that it is granted.
pub(crate) type OwnerId = u32;
