//! Experiments against real daemons on loopback, and the [`Fleet`] that tests and experiments
//! start them with.

use {
    clap::{Parser, Subcommand, ValueEnum},
    eyre::{WrapErr, bail, ensure},
    std::{
        env, fs,
        net::{TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, ExitCode, Output, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

mod arguments;
mod daemon;
mod first_fleet;
mod fleet;
mod program;
mod run;
mod wait;

use arguments::{Arguments, Experiment};
pub use {daemon::Daemon, fleet::Fleet, program::Program, run::run, wait::wait_until};
