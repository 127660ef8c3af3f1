use super::*;

/// Key and certificate files of a daemon, in PEM format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys {
    /// Certificate of the fleet's certificate authority.
    pub authority: PathBuf,
    /// Certificate of this daemon.
    pub certificate: PathBuf,
    /// Private key of this daemon.
    pub key: PathBuf,
}
