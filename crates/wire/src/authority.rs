use super::*;

/// The certificate authority of the fleet, in a directory of its own.
#[derive(Debug)]
pub struct Authority {
    folder: PathBuf,
}

impl Authority {
    /// File name of the authority's certificate.
    pub const CERTIFICATE: &str = "authority.pem";
    const KEY: &str = "authority.key";
    /// Validity of a daemon's certificate: 90 days.
    const VALIDITY: Duration = Duration::from_hours(90 * 24);
    /// Time before its issue from which a certificate is valid, since the clocks of two instances
    /// may differ by as much.
    const CLOCK_SKEW: Duration = Duration::from_hours(1);

    /// Creates an authority in `folder`; fails if one exists.
    pub fn create(folder: &Path) -> Result<Self> {
        let authority = Self { folder: folder.into() };
        let key = rcgen::KeyPair::generate()?;
        let certificate = Self::params()?.self_signed(&key)?;
        fs::create_dir_all(folder).map_err(|source| file_error(folder, source))?;
        write_new(&folder.join(Self::KEY), &key.serialize_pem())?;
        write_new(&folder.join(Self::CERTIFICATE), &certificate.pem())?;
        Ok(authority)
    }

    /// Opens the authority in `folder`.
    pub fn open(folder: &Path) -> Self {
        Self { folder: folder.into() }
    }

    /// Issues a certificate and key for the daemon `name`, as `NAME.pem` and `NAME.key`; fails if
    /// they exist.
    pub fn issue(&self, name: &str) -> Result {
        let (key, certificate) = self.generate(name)?;
        write_new(&self.folder.join(format!("{name}.key")), &key)?;
        write_new(&self.folder.join(format!("{name}.pem")), &certificate)
    }

    /// Issues a certificate and key for the daemon `name`, which replace its current ones.
    pub fn renew(&self, name: &str) -> Result {
        let (key, certificate) = self.generate(name)?;
        replace(&self.folder.join(format!("{name}.key")), &key)?;
        replace(&self.folder.join(format!("{name}.pem")), &certificate)
    }

    /// Generates a key and a certificate for `name`, in PEM.
    fn generate(&self, name: &str) -> Result<(String, String)> {
        let path = self.folder.join(Self::KEY);
        Identity::check_permissions(&path)?;
        let pem = fs::read_to_string(&path).map_err(|source| file_error(&path, source))?;
        let issuer = rcgen::Issuer::new(Self::params()?, rcgen::KeyPair::from_pem(&pem)?);
        let key = rcgen::KeyPair::generate()?;
        let mut params = rcgen::CertificateParams::new(vec![name.into()])?;
        params.distinguished_name.push(rcgen::DnType::CommonName, name);
        params.not_before = time::OffsetDateTime::now_utc() - Self::CLOCK_SKEW;
        params.not_after = time::OffsetDateTime::now_utc() + Self::VALIDITY;
        params.extended_key_usages = vec![
            rcgen::ExtendedKeyUsagePurpose::ServerAuth,
            rcgen::ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &issuer)?;
        Ok((key.serialize_pem(), certificate.pem()))
    }

    fn params() -> Result<rcgen::CertificateParams> {
        let mut params = rcgen::CertificateParams::new(Vec::new())?;
        params.distinguished_name.push(rcgen::DnType::CommonName, "sardinevalve fleet authority");
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        params.key_usages = vec![rcgen::KeyUsagePurpose::KeyCertSign];
        Ok(params)
    }
}

/// Creates a file that only its owner may access; fails if it exists.
fn write_new(path: &Path, text: &str) -> Result {
    use std::{io::Write, os::unix::fs::OpenOptionsExt};
    let file = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(path);
    let mut file = file.map_err(|source| file_error(path, source))?;
    file.write_all(text.as_bytes()).map_err(|source| file_error(path, source))?;
    file.sync_all().map_err(|source| file_error(path, source))
}

/// Replaces `path` atomically, so that a reader sees either the old file or the new one, complete.
fn replace(path: &Path, text: &str) -> Result {
    let temporary = path.with_added_extension("new");
    fs::remove_file(&temporary).ok();
    write_new(&temporary, text)?;
    fs::rename(&temporary, path).map_err(|source| file_error(path, source))
}

pub(crate) fn file_error(path: &Path, source: io::Error) -> Error {
    Error::File { path: path.into(), source }
}
