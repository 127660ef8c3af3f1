//! Stand-ins for upstreams, for tests and measurement. One process plays many runners; each
//! announces itself, renews, answers, and leaves when the process is told to stop.

use {
    clap::{Args, Parser, Subcommand, ValueEnum},
    model::{Announcement, Labels, Location},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        fs::{File, OpenOptions},
        io::Write,
        net::{SocketAddr, TcpListener},
        path::{Path, PathBuf},
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
mod fault;
mod instances;
mod record;
mod run;
mod runner;

pub use run::run;
use {
    arguments::{Arguments, Command, Platform, Upstreams},
    client::Client,
    fault::Fault,
    instances::Instances,
    record::{Record, Run},
    runner::Runner,
};
