//! Settings in INI: the daemon's own, and the fleet's configuration that operators apply. A
//! document is read whole; everything wrong with it is collected with its place and reported
//! together, unknown sections and keys included.

use {
    derive_more::Display,
    model::{
        Budget, Config, Instance, Job, Kind, Labels, Location, Name, Policy, Pool, Resources,
        Selector, Service, Spread, Team, Tenant,
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

/// Result of reading a document.
pub type Result<T = (), E = Findings> = std::result::Result<T, E>;

/// Reads the fleet's configuration from `text`; `file` names it in findings.
pub fn config(file: &str, text: &str) -> Result<Config> {
    fleet::read(&Document::parse(file, text))
}

/// Reads jobs to submit from `text`; `file` names it in findings.
pub fn jobs(file: &str, text: &str) -> Result<BTreeMap<Name, Job>> {
    let document = Document::parse(file, text);
    let mut jobs = BTreeMap::new();
    let mut findings = document.findings.clone();
    for section in &document.sections {
        let mut reader = Reader::new(&document, section, &mut findings);
        if section.kind != "job" {
            reader.unknown();
            continue;
        }
        fleet::insert(&mut jobs, reader.name(), teams::job(&mut reader));
        reader.finish();
    }
    Findings::none_or(findings, Some(jobs))
}
