use super::*;

/// Errors of keys, certificates, connections and messages between daemons.
#[allow(missing_docs)]
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// File that cannot be read or written.
    #[display("cannot access `{}`", path.display())]
    #[from(skip)]
    File { path: PathBuf, source: io::Error },
    /// File that does not contain a certificate or key in PEM.
    #[display("cannot read a certificate or key from `{}`", path.display())]
    #[from(skip)]
    Pem { path: PathBuf, source: rustls::pki_types::pem::Error },
    /// Certificate that cannot be parsed.
    #[display("`{}` does not contain a valid certificate", path.display())]
    #[from(skip)]
    Encoding { path: PathBuf },
    /// Key file that users other than its owner may access.
    #[display("key file `{}` is open to others: allow only its owner to read it", path.display())]
    #[from(skip)]
    Permissions { path: PathBuf },
    /// Certificate that cannot be generated.
    #[display("cannot generate a certificate: {_0}")]
    Certificate(rcgen::Error),
    /// Keys or certificates that TLS rejects.
    #[display("cannot use the keys: {_0}")]
    Tls(rustls::Error),
    /// Authority certificate that cannot be used to verify peers.
    #[display("cannot verify peers with the authority: {_0}")]
    Verifier(rustls::server::VerifierBuilderError),
    /// TLS configuration that QUIC rejects.
    #[display("cannot use the keys for QUIC: {_0}")]
    Suite(quinn::crypto::rustls::NoInitialCipherSuite),
    /// Address that cannot be listened on.
    #[display("cannot listen for peers on `{address}`")]
    #[from(skip)]
    Listen { address: SocketAddr, source: io::Error },
    /// Name that is not valid in a certificate.
    #[display("name `{name}` is not valid in a certificate")]
    #[from(skip)]
    Name { name: Name },
    /// Message that cannot be encoded or decoded.
    #[display("cannot decode a message: {_0}")]
    Decode(postcard::Error),
    /// Message over the size limit; both sizes in bytes.
    #[display("message of {bytes} bytes is over the limit of {max}")]
    #[from(skip)]
    Size { bytes: usize, max: usize },
}
