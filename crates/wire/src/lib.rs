//! Frames between daemons over QUIC with mutual TLS. The transport owns one thread with the only
//! asynchronous runtime of the process; everything else talks to it through channels. A frame that
//! cannot be sent is dropped: every protocol above repeats what it needs.

use {
    crossbeam::channel::Sender,
    derive_more::{Display, Error, From},
    model::Name,
    rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::Arc,
        thread,
        time::Duration,
    },
    tokio::sync::{mpsc, watch},
};

mod authority;
mod certificate;
mod codec;
mod error;
mod frame;
mod hello;
mod identity;
mod link;
mod mesh;
mod transport;

use hello::Hello;
pub use {
    authority::Authority, certificate::Certificate, codec::Codec, error::Error, frame::Frame,
    identity::Identity, mesh::Mesh, transport::Transport,
};

/// Result of this crate's fallible functions.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
