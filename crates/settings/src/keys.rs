use super::*;

/// Files with the keys of a daemon, in PEM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys {
    /// Certificate of the fleet's authority.
    pub authority: PathBuf,
    /// Certificate of this daemon.
    pub certificate: PathBuf,
    /// Private key of this daemon.
    pub key: PathBuf,
}
