//! Experiments with real daemons on loopback and in simulation, and the [`Fleet`] with which tests
//! and experiments start daemons.

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
mod call_outcome;
mod changes;
mod chaos;
mod daemon;
mod dispatch;
mod dispatch_figures;
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
mod planner_run;
mod port;
mod program;
mod quantiles;
mod route_throughput;
mod run;
mod simulation;
mod trace;
mod usage;
mod wait;
mod waves;
mod worker_simulation;

use {
    arguments::{Arguments, Experiment},
    arrival::{Arrival, CLASSES, Class},
    call_outcome::CallOutcome,
    dispatch_figures::DispatchFigures,
    link::Link,
    machine::Machine,
    port::Port,
    quantiles::Quantiles,
    simulation::{DATA_CENTERS, Simulation, Upstream, service},
    usage::Usage,
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

/// Number of services in the dispatch experiment.
const SERVICES: usize = 5;
