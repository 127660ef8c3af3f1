//! The operators' command-line tool. It calls the operators' HTTP interface of any daemon.

use {
    clap::{Args, Parser, Subcommand, ValueEnum},
    eyre::{WrapErr, bail},
    model::{Config, Index, Name, Revision},
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
mod edit;
mod job;
mod keys;
mod maintain;
mod report;
mod run;
mod show;

use {
    arguments::{Arguments, Command, JobCommand, Keys, Maintain, RequestOptions, SubjectKind},
    client::Client,
};
pub use {run::run, show::text};
