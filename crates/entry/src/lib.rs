//! The daemon of an entry instance that finds its peers by itself. One reducer, [`State`], takes
//! every event; the loop around it carries out the effects on one thread, with one more for the
//! disk.
//!
//! A daemon with a data folder may vote; the leader among the voters answers every call and gives
//! every order. Any other daemon passes calls on to the leader, and keeps nothing.

use {
    bytes::Bytes,
    clap::Parser,
    eyre::WrapErr,
    job::{Answer, Call, Command, Note, Scheduler, Table},
    model::{Index, Map, Name, Time},
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        path::PathBuf,
        process::ExitCode,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::{mpsc, oneshot},
};

mod ask;
mod asks;
mod clock;
mod disk;
mod effect;
mod event;
mod founding;
mod helpers;
mod http;
mod journal;
mod membership;
mod message;
mod metrics;
mod origin;
mod outbound;
mod run;
mod serving;
mod state;
mod timer;

pub use run::run;
use {
    ask::Ask, asks::Asks, clock::Clock, effect::Effect, event::Event, founding::Founding,
    helpers::Helpers, membership::Membership, message::Message, metrics::Metrics, origin::Origin,
    state::State, timer::Timer,
};

/// Number of a call that waits for an answer at an edge.
type Ticket = u64;
