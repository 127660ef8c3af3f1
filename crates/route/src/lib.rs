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

mod answer;
mod attempt;
mod claim;
mod claiming;
mod claims;
mod command;
mod effect;
mod event;
mod fate;
mod fingerprint;
mod message;
mod outcome;
mod pending;
mod phase;
mod question;
mod reason;
mod report;
mod request;
mod ruling;
mod settled;
mod state;
mod timer;
mod upstream;
mod verdict;

pub use {
    answer::Answer, attempt::Attempt, claim::Claim, claims::Claims, command::Command,
    effect::Effect, event::Event, fate::Fate, fingerprint::Fingerprint, message::Message,
    outcome::Outcome, question::Question, reason::Reason, report::Report, request::Request,
    ruling::Ruling, state::State, timer::Timer, verdict::Verdict,
};
use {pending::Pending, phase::Phase, settled::Settled, upstream::Upstream};

/// Number of a request at its daemon.
pub type RequestId = u64;

/// Number of an attempt at its daemon.
pub type AttemptId = u64;
