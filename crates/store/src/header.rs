use super::*;

/// First record of a log.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    pub(crate) version: u32,
    pub(crate) daemon: Name,
}

impl Header {
    pub(crate) const VERSION: u32 = 1;

    pub(crate) fn check(&self, path: &Path, daemon: &Name) -> Result {
        let path = path.to_path_buf();
        if self.version != Self::VERSION {
            return Err(Error::Version { path, found: self.version, expected: Self::VERSION });
        }
        if self.daemon != *daemon {
            return Err(Error::Foreign {
                path,
                found: self.daemon.clone(),
                expected: daemon.clone(),
            });
        }
        Ok(())
    }
}
