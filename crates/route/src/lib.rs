//! A caller's request from arrival to answer: admission, queueing, dispatch to an upstream, and
//! what may be said of a request that got no answer. A pure reducer; bodies stay at the edge, which
//! knows them by request and attempt.

use {
    derive_more::Display,
    model::{Announcement, Config, Map, Name, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

mod attempt;
mod effect;
mod event;
mod outcome;
mod pending;
mod reason;
mod report;
mod request;
mod state;
mod timer;
mod upstream;

pub use {
    attempt::Attempt, effect::Effect, event::Event, outcome::Outcome, reason::Reason,
    report::Report, request::Request, state::State, timer::Timer,
};
use {pending::Pending, upstream::Upstream};

/// Number of a request at its daemon.
pub type RequestId = u64;

/// Number of an attempt at its daemon.
pub type AttemptId = u64;
