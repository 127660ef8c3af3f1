//! Simulators of upstreams and of the platform, for tests and measurements. One process simulates
//! many upstreams. Each announces itself to a daemon, renews its announcement, answers requests,
//! and deregisters when the process is told to stop.

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
mod platform_server;
mod run;
mod run_log;
mod upstream;

pub use run::run;
use {
    arguments::{Arguments, Command, PlatformArguments, UpstreamArguments},
    client::Client,
    fault::Fault,
    platform_server::PlatformServer,
    run_log::{Run, RunLog},
    upstream::Upstream,
};
