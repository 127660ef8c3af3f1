//! Reports which jobs missed their objective and why, from the log lines of a fleet's daemons.
//!
//! [`Log`] reads and merges the lines, [`Report`] attributes the lateness of each job to causes and
//! adds it up, and is rendered as text, JSON or SVG. There is no I/O but through the readers that
//! are passed in.

use {
    derive_more::{Display, From},
    plotters::prelude::*,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fmt::Write,
        io::{BufRead, Read},
    },
};

mod cause;
mod error;
mod fields;
mod job;
mod late_job;
mod leadership;
mod line;
mod log;
mod plot;
mod pool_balance;
mod pool_causes;
mod pool_use;
mod report;
mod size_class;
mod text;
mod totals;

pub use {
    cause::{ByCause, Cause},
    error::Error,
    late_job::LateJob,
    log::{Log, LogSummary},
    plot::svg,
    pool_use::PoolUse,
    report::{Attribution, Report},
    size_class::SizeClass,
    text::text,
    totals::Totals,
};
use {
    fields::Fields, job::Job, leadership::Leadership, line::Line, pool_balance::PoolBalance,
    pool_causes::PoolCauses, pool_use::second_of,
};

/// Result of reading a log or of drawing a report.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Wall clock time in milliseconds since 1970.
pub type UnixMs = u64;
