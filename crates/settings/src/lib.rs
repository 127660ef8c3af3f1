//! Parses INI files: settings of daemons, the fleet configuration that operators apply, and jobs
//! to submit. All errors in a document, including unknown sections and keys, are reported together
//! with their locations.

use {
    derive_more::Display,
    model::{
        Budget, Config, Instance, Job, Kind, Labels, Location, Mechanism, Mechanisms, Name, Policy,
        Pool, Resources, Selector, Service, Spread, Team, Tenant,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fmt::{self, Formatter},
        net::SocketAddr,
        path::PathBuf,
        str::FromStr,
        time::Duration,
    },
};

mod daemon;
mod document;
mod entry;
mod entry_daemon;
mod finding;
mod findings;
mod fleet;
mod keys;
mod listen;
mod operators;
mod peer;
mod problem;
mod reader;
mod role;
mod section;
mod teams;
mod text;

use reader::Reader;
pub use {
    daemon::Daemon,
    document::Document,
    entry::Entry,
    entry_daemon::{Bounds, EntryDaemon},
    finding::Finding,
    findings::Findings,
    keys::Keys,
    listen::Listen,
    operators::Operators,
    peer::Peer,
    problem::Problem,
    role::Role,
    section::Section,
    text::{diff, text},
};

/// Result of parsing a document.
pub type Result<T = (), E = Findings> = std::result::Result<T, E>;

/// Parses the fleet configuration in `text`; `file` is its name in findings.
pub fn config(file: &str, text: &str) -> Result<Config> {
    fleet::read(&Document::parse(file, text))
}

/// Parses the jobs to submit in `text`; `file` is its name in findings.
pub fn jobs(file: &str, text: &str) -> Result<BTreeMap<Name, Job>> {
    let document = Document::parse(file, text);
    let mut jobs = BTreeMap::new();
    let mut findings = document.findings.clone();
    for section in &document.sections {
        let mut reader = Reader::new(&document, section, &mut findings);
        if section.kind != "job" {
            reader.unknown_section();
            continue;
        }
        fleet::insert(&mut jobs, reader.name(), teams::job(&mut reader));
        reader.finish();
    }
    Findings::into_result(findings, Some(jobs))
}
