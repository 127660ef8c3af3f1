//! The state machine of a daemon. Every event passes through [`State::reduce`], which hands it to
//! the component that it concerns and turns what the components request into effects for the I/O
//! code around it. It is deterministic: the same events at the same times give the same effects.
//!
//! State that must survive goes through the replicated log as a [`Proposal`]. The daemon that makes
//! a proposal sends it to the leader, and repeats it until it sees it applied; commands are
//! idempotent, so a repetition changes nothing.

use {
    derive_more::From,
    model::{Announcement, Index, Name, Revision, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Formatter},
        time::Duration,
    },
};

mod command;
mod controller;
mod drains;
mod effect;
mod event;
mod fleet_queries;
mod leases;
mod message;
pub mod operator;
mod outcome;
mod overview;
mod pending_proposal;
pub mod platform;
mod proposal;
mod proposals;
mod replica;
mod state;
mod summary;
mod timer;
pub mod upstream;

#[cfg(test)]
#[path = "../tests/unit/mod.rs"]
mod unit;

pub use {
    command::Command, effect::Effect, event::Event, message::Message, outcome::Outcome,
    overview::Overview, proposal::Proposal, replica::Replica, state::State, summary::Summary,
    timer::Timer,
};
use {
    controller::Controller,
    drains::Drains,
    leases::Leases,
    pending_proposal::{PendingProposal, Waiter},
    proposals::Proposals,
};

/// Identifies an HTTP call that waits for its reply.
pub type Ticket = u64;
