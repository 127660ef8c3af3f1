//! Data types shared by all crates: names, labels, selectors, jobs, and the fleet configuration
//! that operators apply. Nothing here does I/O, and every type is cheap to clone and to encode.

use {
    derive_more::{Add, AddAssign, Deref, Display, Error, From},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Formatter},
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
};

mod announcement;
mod budget;
mod config;
mod error;
mod instance;
mod job;
mod kind;
mod labels;
mod location;
mod mechanism;
mod mechanisms;
mod policy;
mod pool;
mod quota;
mod requirement;
mod resources;
mod selector;
mod service;
mod spread;
mod team;
mod tenant;
mod urgency;
mod worker;

pub use {
    announcement::Announcement, budget::Budget, config::Config, error::Error, instance::Instance,
    job::Job, kind::Kind, labels::Labels, location::Location, mechanism::Mechanism,
    mechanisms::Mechanisms, policy::Policy, pool::Pool, quota::Quota, requirement::Requirement,
    resources::Resources, selector::Selector, service::Service, spread::Spread, team::Team,
    tenant::Tenant, urgency::Urgency, worker::Worker,
};

/// Name of an instance, pool, job or other named object; cheap to clone.
pub type Name = Arc<str>;

/// Point in time on a monotonic clock, as the time since its origin. Local time counts from the
/// start of the process. Replicated time and fleet time are clocks of the replicated state, which
/// start at zero and advance with the leader's commands.
pub type Time = Duration;

/// Number of an accepted configuration, counted from 1; 0 is the initial, empty configuration.
pub type Revision = u64;

/// Position of an entry in the replicated log, counted from 1.
pub type Index = u64;

/// Maximum size of the body of a request, in bytes. What is accepted has to be carried: the bounds of
/// log entries, frames and queues between daemons follow from this one.
pub const MAX_REQUEST_BYTES: usize = 4 * 1024 * 1024;

/// Hash map with a fast hasher, seeded per process. Its iteration order differs between
/// processes, so it must not be iterated where order matters.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with the same hasher as [`Map`].
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;

/// Result type of this crate.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
