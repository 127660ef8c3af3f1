//! Daemon of an entry instance, which discovers its peers by itself. The state machine [`State`]
//! handles every event. The event loop around it carries out the effects on one thread; further
//! threads write to disk and to the log.
//!
//! A daemon with a data folder may vote. The leader among the voters answers every call and sends
//! every request to instances and to the platform. All other daemons forward calls to the leader
//! and store nothing.

use {
    bytes::Bytes,
    clap::Parser,
    eyre::WrapErr,
    job::{Answer, Call, Command, Note, Scheduler, Table},
    model::{Index, Map, Name, Time},
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
        path::PathBuf,
        process::ExitCode,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::{mpsc, oneshot, watch},
};

mod access;
mod account;
mod bootstrap;
mod budget;
mod carriers;
mod carrying;
mod clock;
mod disk;
mod effect;
mod event;
mod http;
mod http_client;
mod inbox;
mod instance_call;
mod log;
mod membership;
mod message;
mod metrics;
mod organisations;
mod outbox;
mod overload;
mod peer_clock;
mod pending_call;
mod pending_calls;
mod pending_counts;
mod query_router;
mod reply_to;
mod run;
mod runs;
mod serving;
mod state;
mod surplus;
mod tickets;
mod timer;

#[cfg(test)]
#[path = "../tests/reducer/mod.rs"]
mod reducer;

pub use run::run;
use {
    account::{Account, Activity},
    bootstrap::Bootstrap,
    budget::{Budget, Excess},
    carriers::Carriers,
    clock::Clock,
    effect::Effect,
    event::Event,
    inbox::Inbox,
    instance_call::InstanceCall,
    membership::Membership,
    message::{Message, Origin},
    metrics::Metrics,
    organisations::{OrganisationEvent, OrganisationLabels, OrganisationReport},
    outbox::Outbox,
    overload::Overload,
    peer_clock::{PeerClocks, Reading},
    pending_call::PendingCall,
    pending_calls::PendingCalls,
    pending_counts::PendingCounts,
    query_router::QueryRouter,
    reply_to::ReplyTo,
    state::{Identity, State},
    surplus::Surplus,
    tickets::Tickets,
    timer::Timer,
};

/// Id of a call that a client of this daemon waits for, different from those of earlier processes;
/// unrelated to the tickets of admission permits.
type CallTicket = u64;
