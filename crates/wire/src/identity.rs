use super::*;

/// Private key and certificate of a daemon, and the certificate of the authority that signed those
/// of all daemons.
#[derive(Debug)]
pub struct Identity {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Reads the certificates and the key from their files, and checks the permissions of the key
    /// file.
    pub fn load(authority: &Path, certificate: &Path, key: &Path) -> Result<Self> {
        Self::check_permissions(key)?;
        Ok(Self {
            authority: read_pem(authority)?,
            certificate: read_pem(certificate)?,
            key: read_pem(key)?,
        })
    }

    /// Fails if users other than its owner have any access to the file at `path`.
    pub fn check_permissions(path: &Path) -> Result {
        use std::os::unix::fs::PermissionsExt;
        let metadata = fs::metadata(path).map_err(|source| authority::file_error(path, source))?;
        if metadata.permissions().mode() & GROUP_AND_OTHERS != 0 {
            return Err(Error::Permissions { path: path.into() });
        }
        Ok(())
    }

    /// QUIC configuration for accepting connections. Peers must present a certificate signed by the
    /// authority.
    pub(crate) fn server(&self) -> Result<quinn::ServerConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
            Arc::new(self.roots()?),
            provider.clone(),
        );
        let config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier.build()?)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        let config = quinn::crypto::rustls::QuicServerConfig::try_from(config)?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(config));
        config.transport_config(Arc::new(link::transport_config()));
        Ok(config)
    }

    /// QUIC configuration for connecting to peers. This daemon presents its certificate, as peers
    /// require.
    pub(crate) fn client(&self) -> Result<quinn::ClientConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        let config = quinn::crypto::rustls::QuicClientConfig::try_from(config)?;
        let mut config = quinn::ClientConfig::new(Arc::new(config));
        config.transport_config(Arc::new(link::transport_config()));
        Ok(config)
    }

    /// The authority as the only trusted root.
    fn roots(&self) -> Result<rustls::RootCertStore> {
        let mut roots = rustls::RootCertStore::empty();
        roots.add(self.authority.clone())?;
        Ok(roots)
    }
}

pub(crate) fn read_pem<T: PemObject>(path: &Path) -> Result<T> {
    T::from_pem_file(path).map_err(|source| Error::Pem { path: path.into(), source })
}

/// Mode bits that give access to users other than the owner.
const GROUP_AND_OTHERS: u32 = 0o077;
