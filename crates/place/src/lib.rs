//! Places jobs on workers.
//!
//! [`State`] is replicated. It applies commands from the log and refuses every step that would run
//! a job twice, reserve more than a worker has, or exceed a quota, no matter which daemon proposed
//! it. [`Planner`] runs on the leader only. It follows the platform's reports and decides which
//! steps to propose and which calls to make to the platform. A new leader builds its planner from
//! the replicated state alone.
//!
//! Time in the replicated state advances with the leader's plans. A plan carries the leader's term,
//! and a plan of an earlier term is refused: otherwise a delayed duplicate could advance the time
//! and so end a lease early.

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
mod checks;
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
mod queue_key;
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
use {claim::Claim, queue_key::QueueKey, slot::Slot, task::Task};

/// Fencing number of a placement, counted from 1 over all jobs. The platform refuses calls of a
/// lower epoch than the highest it has seen of the job.
pub type Epoch = u64;

/// Term of the leader that made a plan.
pub type Term = u64;

/// Lease of a task: how long the platform runs it without a renewal.
pub const LEASE: Duration = Duration::from_secs(10);

/// Age beyond which the platform no longer carries out a call.
pub const CALL_VALIDITY: Duration = Duration::from_secs(2);

/// Allowance for clocks that run at different speeds for the duration of a lease.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_secs(1);
