//! Experiments against real daemons on loopback, and the [`Fleet`] that tests and experiments
//! start them with.

use {
    clap::{Args, Parser, Subcommand},
    eyre::{WrapErr, bail, ensure},
    serde::Serialize,
    std::{
        collections::BTreeMap,
        env, fs, io,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, ExitCode, Output, Stdio},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

mod arguments;
mod changes;
mod daemon;
mod first_fleet;
mod fleet;
mod idle;
mod leader_kills;
mod link;
mod network;
mod port;
mod program;
mod quantiles;
mod run;
mod usage;
mod wait;
mod waves;

use arguments::{Arguments, Experiment};
pub use {
    daemon::Daemon, fleet::Fleet, network::Network, program::Program, run::run, wait::wait_until,
};
use {link::Link, port::Port, quantiles::Quantiles, usage::Usage};
