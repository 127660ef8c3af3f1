//! Replicated state of the fleet: the configuration that operators apply, the upstreams that
//! announce themselves, pool membership and maintenance waves. Commands come from the replicated
//! log in order, and applying them is deterministic, so every daemon computes the same state.
//!
//! Three invariants are checked when a command is applied, so they hold no matter which daemon
//! proposed it:
//!
//! - An instance has at most one [`Tenure`] (pool membership), and gets the next one only after
//!   the previous one has been drained.
//! - A [`Grant`] to disrupt an available instance is given only while every budget that selects
//!   the instance allows it.
//! - Each [`Step`] names the epoch of the instance that it was made for, and has no effect once
//!   that epoch has passed.
//!
//! The leader proposes the commands of [`Planner::plan`], which reads the state without changing
//! it.

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
mod recent_verdicts;
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
    action::Action, change::Change, command::Command, edit::Edit, effect::Effect, entry::Entry,
    error::Error, grant::Grant, history::History, journal::Journal, load::Load, order::Order,
    outage::Outage, overlap::Overlap, past::Past, phase::Phase, planner::Planner,
    presence::Presence, progress::Progress, purpose::Purpose, reason::Reason,
    recent_verdicts::RecentVerdicts, refusal::Refusal, shortage::Shortage, standing::Standing,
    state::State, step::Step, subject::Subject, tally::Tally, tenure::Tenure, upstream::Upstream,
    verdict::Verdict, wait::Wait, warning::Warning, wave::Wave,
};

/// Fencing number of an instance's current assignment. It grows with every grant and tenure, so
/// that steps made for an earlier assignment can be recognised.
pub type Epoch = u64;

/// Result type of this crate.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
