//! Jobs on workers. [`State`] is replicated: it applies commands from the log, and refuses whatever
//! would run a job twice, overfill a worker, or break a quota, whoever proposes it. [`Planner`] lives
//! on the leader only: it watches what the platform reports, and decides what to propose and what
//! to ask of the platform. A new leader builds its planner from the replicated state alone.
//!
//! Time in the replicated state comes from the leader's plans. A plan carries the leader's term, and
//! a plan of an earlier term is refused, so that a late repetition cannot shorten a lease.

use {
    derive_more::{Display, From},
    model::{Job, Location, Name, Resources, Selector, Team, Time, Urgency, Worker},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

mod action;
mod call;
mod cause;
mod claim;
mod class;
mod command;
mod effect;
mod end;
mod entry;
mod event;
mod feasibility;
mod health;
mod history;
mod host;
mod judge;
mod lack;
mod order;
mod outcome;
mod overfull;
mod phase;
mod placement;
mod plan;
mod planner;
mod preemption;
mod queue;
mod refusal;
mod release;
mod slot;
mod standing;
mod state;
mod step;
mod sync;
mod task;
mod tasks;
mod tombstones;
mod usage;
mod verdict;
mod wait;
mod want;

pub use {
    action::Action,
    call::Call,
    cause::Cause,
    class::Class,
    command::Command,
    effect::Effect,
    end::End,
    entry::Entry,
    event::Event,
    health::Health,
    history::History,
    host::Host,
    lack::{Lack, Requirement},
    order::Order,
    outcome::Outcome,
    phase::Phase,
    placement::Placement,
    plan::Plan,
    planner::Planner,
    refusal::Refusal,
    release::Release,
    standing::Standing,
    state::State,
    step::Step,
    tombstones::Tombstones,
    usage::Usage,
    verdict::Verdict,
    wait::Wait,
};
use {claim::Claim, slot::Slot, task::Task, want::Want};

/// Number of a placement, counted from 1 over all jobs; a higher one fences a lower.
pub type Epoch = u64;

/// Term of the leader that made a plan.
pub type Term = u64;

/// How long the platform runs a task without a renewal.
pub const LEASE: Duration = Duration::from_secs(10);

/// Time after which the platform no longer carries out a call.
pub const CALL_VALIDITY: Duration = Duration::from_secs(2);

/// Allowance for clocks that run at different speeds.
pub const DRIFT: Duration = Duration::from_secs(1);
