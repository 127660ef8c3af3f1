//! Stand-ins for upstreams, for tests and measurement. One process plays many runners; each
//! announces itself, renews, answers, and leaves when the process is told to stop.

use {
    clap::{Args, Parser, Subcommand},
    model::{Announcement, Labels, Location},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        process::ExitCode,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

mod arguments;
mod client;
mod machines;
mod run;
mod runner;

pub use run::run;
use {
    arguments::{Arguments, Command, Platform, Upstreams},
    client::Client,
    machines::Machines,
    runner::Runner,
};
