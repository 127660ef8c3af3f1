use super::*;

/// Summary of a certificate, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{name}, valid until {expires}, serial {serial}")]
pub struct Certificate {
    /// Daemon to which it was issued.
    pub name: String,
    /// End of its validity, in UTC.
    pub expires: String,
    /// Serial number, in hexadecimal.
    pub serial: String,
}

impl Certificate {
    /// Reads a certificate in PEM.
    pub fn load(path: &Path) -> Result<Self> {
        let der: CertificateDer = identity::read_pem(path)?;
        let parsed = x509_parser::parse_x509_certificate(&der);
        let (_, certificate) = parsed.map_err(|_| Error::Encoding { path: path.into() })?;
        let name = certificate.subject().iter_common_name().next();
        let name = name.and_then(|name| name.as_str().ok()).unwrap_or("unnamed");
        Ok(Self {
            name: name.into(),
            expires: certificate.validity().not_after.to_string(),
            serial: certificate.raw_serial_as_string(),
        })
    }
}
