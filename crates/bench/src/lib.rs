//! Experiments against real daemons on loopback, and the [`Fleet`] that tests and experiments
//! start them with.

use {
    clap::{Args, Parser, Subcommand},
    eyre::{WrapErr, bail, ensure},
    hdrhistogram::Histogram,
    model::{Announcement, Config, Kind, Labels, Location, Map, Name, Service},
    rand::Rng,
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    serde::Serialize,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        env, fs, io,
        net::{SocketAddr, TcpListener, UdpSocket},
        ops::RangeInclusive,
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

mod agreement;
mod arguments;
mod arrival;
mod changes;
mod chaos;
mod daemon;
mod dispatch;
mod ending;
mod first_fit;
mod first_fleet;
mod fleet;
mod idle;
mod leader_kills;
mod link;
mod load;
mod machine;
mod network;
mod placement;
mod planned;
mod port;
mod program;
mod quantiles;
mod route_throughput;
mod run;
mod simulation;
mod tally;
mod trace;
mod usage;
mod wait;
mod waves;
mod workshop;

use arguments::{Arguments, Experiment};
use {
    arrival::{Arrival, CLASSES, Class},
    simulation::{DATA_CENTERS, Runner, Simulation, service},
    tally::Tally,
};
pub use {
    chaos::{Chaos, Findings},
    daemon::Daemon,
    fleet::Fleet,
    network::Network,
    program::Program,
    run::run,
    wait::wait_until,
};
use {
    ending::Ending, link::Link, machine::Machine, port::Port, quantiles::Quantiles, usage::Usage,
};

/// Services of the dispatch experiment.
const SERVICES: usize = 5;
