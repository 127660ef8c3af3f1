//! The fleet as operators want it and as upstreams announce it. Its state is replicated: commands
//! come from the log in order, and every daemon draws the same outcomes from them.

use {
    derive_more::Display,
    model::{Announcement, Config, Name, Revision},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

mod answers;
mod change;
mod command;
mod effect;
mod presence;
mod state;
mod upstream;
mod verdict;

pub use {
    answers::Answers, change::Change, command::Command, effect::Effect, presence::Presence,
    state::State, upstream::Upstream, verdict::Verdict,
};
