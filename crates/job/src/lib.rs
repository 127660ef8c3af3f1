//! Jobs of queues, as graphs of task groups that run on instances under leases.
//!
//! [`Table`] is replicated: it applies commands from the log, and is the same on every voter.
//! [`Owner`] lives on the leader only. It watches the instances, decides what to start, stop and
//! renew, and says so as [`Effect`]s. An attempt is committed to the table before the instance hears
//! of it, and an end is committed before the instance may forget it, so that a new owner finds every
//! attempt that may be running.

use {
    derive_more::{Display, From},
    model::{Map, Name, Resources, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

mod admission;
mod announcement;
mod answers;
mod batch;
mod bounds;
mod call;
mod claim;
mod cohort;
mod command;
mod config;
mod due;
mod durations;
mod effect;
mod end;
mod entry;
mod event;
mod fillers;
mod group;
mod how;
mod incarnation;
mod instance;
mod lending;
mod machine;
mod machines;
mod order;
mod outcome;
mod owner;
mod phase;
mod planning;
mod progress;
mod queue;
mod recurrence;
mod reply;
mod settling;
mod slot;
mod spec;
mod standing;
mod table;
mod task;
mod upkeep;
mod wave;

use {
    admission::Policy,
    due::Due,
    durations::Durations,
    instance::{Attempt, Instance, Stage},
    progress::Round,
};
pub use {
    admission::{Admission, Decided, Leave, Question},
    announcement::{Announcement, Condition},
    batch::Batch,
    bounds::Bounds,
    call::{Answer, Call},
    claim::Claim,
    cohort::Cohort,
    command::Command,
    config::{Config, Limits, Pool},
    effect::{Effect, Note},
    end::End,
    entry::Entry,
    event::Event,
    group::Group,
    how::How,
    incarnation::Incarnation,
    machine::{Machine, MachineState},
    order::{MachineOrder, Order},
    outcome::Outcome,
    owner::Owner,
    phase::Phase,
    queue::Queue,
    recurrence::Recurrence,
    reply::{Ended, Failure, MachineReply, Reply, Running},
    slot::Slot,
    spec::Spec,
    standing::Standing,
    table::Table,
    task::Task,
    wave::{Progress, Wave},
};

/// Identity of a job, chosen by its caller.
pub type JobId = u64;

/// Number of an attempt at a task, counted from 1.
pub type Number = u32;

/// Term of the owner that gives orders; instances refuse a lower one.
pub type Epoch = u64;

/// Milliseconds since 1970.
pub type Unix = u64;

/// Milliseconds on the steady clock of an instance.
pub type Clock = u64;

/// Number of a call that waits for an answer.
pub type CallId = u64;

/// Number of a maintenance wave, chosen by the operator.
pub type WaveId = u64;
