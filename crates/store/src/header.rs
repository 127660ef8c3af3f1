use super::*;

/// First frame of a log file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    /// Format version of the file.
    pub(crate) version: u32,
    /// Daemon that the file belongs to.
    pub(crate) daemon: Name,
    /// Identity of the disk; see [`quorum::DiskId`].
    pub(crate) disk: u64,
}

impl Header {
    /// Format version that this build reads and writes.
    pub(crate) const VERSION: u32 = 3;
    /// Checksum salt of header frames; the frames that hold records use [`Self::record_salt`].
    pub(crate) const SALT: u32 = 0;

    /// Decodes the header of the file at `path`, and checks its version and that it belongs to
    /// `daemon`.
    pub(crate) fn read(path: &Path, body: &[u8], daemon: &Name) -> Result<Self> {
        let damaged = |_| Error::Damaged { path: path.to_path_buf(), offset: 0 };
        let (found, _) = postcard::take_from_bytes::<u32>(body).map_err(damaged)?;
        if found != Self::VERSION {
            let path = path.to_path_buf();
            return Err(Error::Version { path, found, expected: Self::VERSION });
        }
        let header: Self = postcard::from_bytes(body).map_err(damaged)?;
        if header.daemon != *daemon {
            let (path, expected) = (path.to_path_buf(), daemon.clone());
            return Err(Error::Foreign { path, found: header.daemon, expected });
        }
        Ok(header)
    }

    /// Checksum salt of the frames that hold records in log `number`. It differs between disks and
    /// between the logs of a disk, so that bytes of another log are not taken for valid frames.
    pub(crate) fn record_salt(&self, number: u64) -> u32 {
        (self.disk ^ self.disk >> 32 ^ number) as u32
    }
}
