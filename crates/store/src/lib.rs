//! Durable state of a voter: a data folder with an append-only log of checksummed frames, each of
//! which holds a batch of records. Records are durable only once [`Store::sync`] has returned. A
//! snapshot starts a new log, which is written completely to a temporary file and renamed, and then
//! replaces the previous log.
//!
//! Since each frame is durable before the next is written, a crash leaves at most one truncated
//! frame, at the end; opening the store cuts it off. An invalid frame that is followed by another
//! one is damage, and the store refuses to open.

use {
    derive_more::{Display, Error},
    model::Name,
    quorum::{PersistentState, Record},
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        fs::{self, File, OpenOptions},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

mod error;
mod folder;
mod frame;
mod header;
mod medium;
mod store;

pub use {error::Error, folder::Folder, medium::Medium, store::Store};
use {frame::Frame, header::Header};

/// Result of this crate's fallible functions.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
