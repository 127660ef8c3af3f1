//! Transport of frames between daemons: QUIC with mutual TLS ([`Transport`]), and QUIC among
//! daemons that discover each other ([`Mesh`]). The transport owns one thread with an asynchronous
//! runtime; all other code communicates with it through channels. Frames that cannot be sent are
//! dropped: every protocol above repeats what it needs.

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
mod class;
mod codec;
mod error;
mod frame;
mod hello;
mod identity;
mod link;
mod mesh;
mod queue;
mod transport;

use hello::Hello;
pub use {
    authority::Authority,
    certificate::Certificate,
    class::Class,
    codec::Codec,
    error::Error,
    frame::Frame,
    identity::Identity,
    mesh::Mesh,
    queue::{Expired, Queue},
    transport::Transport,
};

/// Result of this crate's fallible functions.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
