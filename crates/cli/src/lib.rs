//! The operators' command-line tool, over the operators' HTTP interface of any daemon.

use {
    clap::{Parser, Subcommand},
    eyre::{WrapErr, bail},
    model::{Index, Name, Revision},
    node::operator::{Reply, Status},
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

mod apply;
mod arguments;
mod client;
mod keys;
mod run;
mod show;

pub use run::run;
use {
    arguments::{Arguments, Command, Keys},
    client::Client,
};
