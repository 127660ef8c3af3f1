//! The durable state of a voter: one data folder with an append-only log of checksummed frames, each
//! a batch of records. Nothing counts as kept before [`Store::sync`] has returned. A snapshot starts
//! a new log, written whole beside the present one and renamed, which then replaces it.
//!
//! A crash leaves at most one frame cut short at the end, since each is on disk before the next is
//! written; it is cut off. A bad frame with another after it is damage, and the store refuses to
//! open.

use {
    derive_more::{Display, Error},
    model::Name,
    quorum::{PersistentState, Record},
    serde::{Deserialize, Serialize},
    std::{
        fs::{self, File, OpenOptions},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

mod error;
mod folder;
mod frame;
mod header;
mod store;

pub use {error::Error, store::Store};
use {folder::Folder, frame::Frame, header::Header};

/// Result of this crate's fallible functions.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
