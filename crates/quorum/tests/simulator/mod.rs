//! Cluster simulation: members with simulated network, disks and clocks, driven by a single seed.

mod fault;
mod host;
mod operator;
mod oracle;
mod world;

pub use {host::Host, oracle::Oracle, world::World};

use {
    model::{Index, Name, Time},
    quorum::{
        Change, DiskId, Effect, Entry, Event, Limits, Message, PersistentState, Record, Role,
        Snapshot, State, Timer,
    },
    rand::{Rng, seq::IndexedRandom},
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};
