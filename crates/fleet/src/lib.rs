//! The fleet as operators want it and as upstreams announce it. Its state is replicated: commands
//! come from the log in order, and every daemon draws the same outcomes from them.
//!
//! Three rules are checked where a command is applied, so that they hold whoever proposed it. An
//! instance has one [`Tenure`] at most, and gets the next one only after the former has been
//! drained. A [`Grant`] to disrupt an instance is given only while every budget that selects the
//! instance stays intact. Each command names the epoch of the instance that it was made for, and
//! does nothing once that epoch has passed.
//!
//! The leader proposes commands from [`Planner::plan`], which reads the state and changes nothing.

use {
    derive_more::{Display, Error as StdError},
    model::{Announcement, Budget, Config, Labels, Name, Policy, Revision, Selector, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

mod action;
mod answers;
mod change;
mod command;
mod edit;
mod effect;
mod entry;
mod error;
mod grant;
mod history;
mod journal;
mod load;
mod membership;
mod order;
mod outage;
mod overlap;
mod past;
mod phase;
mod planner;
mod presence;
mod progress;
mod purpose;
mod reason;
mod refusal;
mod shortage;
mod standing;
mod state;
mod step;
mod steps;
mod subject;
mod tally;
mod tenure;
mod upstream;
mod verdict;
mod wait;
mod warning;
mod wave;
mod waves;

pub use {
    action::Action, answers::Answers, change::Change, command::Command, edit::Edit, effect::Effect,
    entry::Entry, error::Error, grant::Grant, history::History, journal::Journal, load::Load,
    order::Order, outage::Outage, overlap::Overlap, past::Past, phase::Phase, planner::Planner,
    presence::Presence, progress::Progress, purpose::Purpose, reason::Reason, refusal::Refusal,
    shortage::Shortage, standing::Standing, state::State, step::Step, subject::Subject,
    tally::Tally, tenure::Tenure, upstream::Upstream, verdict::Verdict, wait::Wait,
    warning::Warning, wave::Wave,
};

/// Number of an instance's present assignment; grows with every grant and tenure.
pub type Epoch = u64;

/// Result of this crate's fallible functions.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
