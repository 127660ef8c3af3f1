use super::*;

/// What may go wrong with keys and connections.
#[allow(missing_docs)]
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// File that cannot be read or written.
    #[display("cannot access `{}`", path.display())]
    #[from(skip)]
    File { path: PathBuf, source: io::Error },
    /// File that does not hold what it should.
    #[display("cannot read a certificate or key from `{}`", path.display())]
    #[from(skip)]
    Pem { path: PathBuf, source: rustls::pki_types::pem::Error },
    /// Certificate whose contents cannot be read.
    #[display("`{}` holds no valid certificate", path.display())]
    #[from(skip)]
    Encoding { path: PathBuf },
    /// Key file that others may read.
    #[display("key file `{}` is open to others: allow only its owner to read it", path.display())]
    #[from(skip)]
    Permissions { path: PathBuf },
    /// Certificate that cannot be made.
    #[display("cannot make a certificate: {_0}")]
    Certificate(rcgen::Error),
    /// Keys that TLS refuses.
    #[display("cannot use the keys: {_0}")]
    Tls(rustls::Error),
    /// Authority that cannot verify peers.
    #[display("cannot verify peers with the authority: {_0}")]
    Verifier(rustls::server::VerifierBuilderError),
    /// TLS settings that QUIC refuses.
    #[display("cannot use the keys for QUIC: {_0}")]
    Suite(quinn::crypto::rustls::NoInitialCipherSuite),
    /// Address that cannot be used.
    #[display("cannot listen for peers on `{address}`")]
    #[from(skip)]
    Listen { address: SocketAddr, source: io::Error },
    /// Name that no certificate can carry.
    #[display("name `{name}` cannot stand in a certificate")]
    #[from(skip)]
    Name { name: Name },
    /// Bytes that are not a message.
    #[display("cannot decode a message: {_0}")]
    Decode(postcard::Error),
    /// Message over the size that a peer takes.
    #[display("message of {bytes} bytes is over the limit of {max}")]
    #[from(skip)]
    Size { bytes: usize, max: usize },
}
