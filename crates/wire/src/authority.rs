use super::*;

/// The fleet's certificate authority, in a folder of its own.
#[derive(Debug)]
pub struct Authority {
    folder: PathBuf,
}

impl Authority {
    /// File name of the authority's certificate.
    pub const CERTIFICATE: &str = "authority.pem";
    const KEY: &str = "authority.key";

    /// Makes a new authority in `folder`; an existing one is never replaced.
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

    /// Issues a certificate and key for the daemon `name`, as `NAME.pem` and `NAME.key`.
    pub fn issue(&self, name: &str) -> Result {
        let path = self.folder.join(Self::KEY);
        let pem = fs::read_to_string(&path).map_err(|source| file_error(&path, source))?;
        let issuer = rcgen::Issuer::new(Self::params()?, rcgen::KeyPair::from_pem(&pem)?);
        let key = rcgen::KeyPair::generate()?;
        let mut params = rcgen::CertificateParams::new(vec![name.into()])?;
        params.distinguished_name.push(rcgen::DnType::CommonName, name);
        params.extended_key_usages = vec![
            rcgen::ExtendedKeyUsagePurpose::ServerAuth,
            rcgen::ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &issuer)?;
        write_new(&self.folder.join(format!("{name}.key")), &key.serialize_pem())?;
        write_new(&self.folder.join(format!("{name}.pem")), &certificate.pem())
    }

    fn params() -> Result<rcgen::CertificateParams> {
        let mut params = rcgen::CertificateParams::new(Vec::new())?;
        params.distinguished_name.push(rcgen::DnType::CommonName, "sardinevalve fleet authority");
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        params.key_usages = vec![rcgen::KeyUsagePurpose::KeyCertSign];
        Ok(params)
    }
}

fn write_new(path: &Path, text: &str) -> Result {
    use std::{io::Write, os::unix::fs::OpenOptionsExt};
    let file = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(path);
    let mut file = file.map_err(|source| file_error(path, source))?;
    file.write_all(text.as_bytes()).map_err(|source| file_error(path, source))?;
    file.sync_all().map_err(|source| file_error(path, source))
}

pub(crate) fn file_error(path: &Path, source: io::Error) -> Error {
    Error::File { path: path.into(), source }
}
