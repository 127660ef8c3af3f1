//! Schedules queued jobs, each a graph of task groups, on instances that hold leases.
//!
//! [`Table`] is the replicated state machine: it applies commands from the log and is identical on
//! every voter. [`Scheduler`] runs on the leader only. It tracks the instances, decides which
//! attempts to start, stop and renew, and returns its decisions as [`Effect`]s. An attempt is
//! committed to the table before its instance is told to start it, and its end is committed before
//! the instance may forget it, so a new leader finds every attempt that may still be running.

use {
    demand::Arrivals,
    derive_more::{Display, From},
    model::{Map, Mechanism, Mechanisms, Name, Resources, Set, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

mod admission;
mod announcement;
mod answers;
mod attempt_end;
mod batch;
mod bounds;
mod call;
mod claim;
mod command;
mod commit;
mod config;
mod crashes;
mod departure;
mod document;
mod due;
mod durations;
mod effect;
mod end_reason;
mod event;
mod generation;
mod group;
mod group_id;
mod hold_reason;
mod holds;
mod incarnation;
mod instance;
mod isolation;
mod job_record;
mod job_state;
mod key_digest;
mod leader;
mod ledger;
mod lending;
mod machine;
mod machines;
mod maintenance;
mod order;
mod order_budget;
mod organisation;
mod outcome;
mod phase;
mod planning;
mod queue;
mod rates;
mod rebalancing;
mod recurrence;
mod reply;
mod round;
mod rounds;
mod scheduler;
mod shares;
mod spec;
mod spec_digest;
mod table;
mod task_id;
mod task_state;
mod throttling;
mod usage;
mod wait_causes;
mod wave;

use {
    admission::AdmissionState,
    departure::Departure,
    due::DueRound,
    durations::DurationEstimator,
    generation::Generation,
    holds::Holds,
    instance::{Attempt, Instance, Stage},
    ledger::{Charge, Ledger},
    order_budget::OrderBudget,
    rates::Rates,
    round::Round,
    rounds::Rounds,
    shares::Filling,
    wait_causes::WaitCauses,
};
pub use {
    admission::{AdmissionPolicy, AdmissionQuery, AdmissionResult, Permit},
    announcement::{Announcement, Condition},
    attempt_end::AttemptEnd,
    batch::Batch,
    bounds::Bounds,
    call::{Answer, Call},
    claim::Claim,
    command::Command,
    config::{Config, Limits, Pool},
    crashes::Crashes,
    document::Document,
    effect::{Effect, Note},
    end_reason::EndReason,
    event::Event,
    group::Group,
    group_id::GroupId,
    hold_reason::HoldReason,
    incarnation::Incarnation,
    job_record::JobRecord,
    job_state::JobState,
    key_digest::KeyDigest,
    leader::Leader,
    machine::{Machine, MachineState},
    order::{MachineOrder, Order},
    organisation::Organisation,
    outcome::Outcome,
    phase::Phase,
    queue::Queue,
    recurrence::Recurrence,
    reply::{CallError, EndedAttempt, MachineReply, Reply, RunningAttempt},
    scheduler::Scheduler,
    spec::Spec,
    spec_digest::SpecDigest,
    table::Table,
    task_id::TaskId,
    task_state::TaskState,
    wave::{Progress, Wave},
};

/// Id of a job, chosen by the caller.
pub type JobId = u64;

/// Number of an attempt at a task, counted from 1.
pub type AttemptNumber = u32;

/// Raft term of the scheduler that sends a request. The platform rejects requests of a lower epoch
/// (fencing).
pub type Epoch = u64;

/// Fencing token of a call to an instance, which rejects calls with a lower token than it has seen. It
/// rises with each leader, and under one leader with each incarnation of a name.
pub type Token = u64;

/// Wall clock time in milliseconds since 1970.
pub type UnixMs = u64;

/// Milliseconds on the monotonic clock of an instance.
pub type InstanceMs = u64;

/// Id that matches an outgoing call to its result.
pub type CallId = u64;

/// Id of a maintenance wave, chosen by the operator.
pub type WaveId = u64;
