//! The durable state of a voter: one data folder with an append-only log of checksummed records.
//! Nothing counts as kept before [`Store::sync`] has returned. A torn tail, as a crash leaves it,
//! is cut; damage before the tail is reported and the store refuses to open.

use {
    derive_more::{Display, Error},
    model::Name,
    quorum::{Record, Restored},
    serde::{Deserialize, Serialize},
    std::{
        fs::{self, File, OpenOptions},
        io::{self, Write},
        path::{Path, PathBuf},
    },
};

mod error;
mod frame;
mod header;
mod store;

pub use {error::Error, store::Store};
use {frame::Frame, header::Header};

/// Result of this crate's fallible functions.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
