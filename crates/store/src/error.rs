use super::*;

/// Errors of the data folder.
#[allow(missing_docs)]
#[derive(Debug, Display, Error)]
pub enum Error {
    /// File or folder that cannot be accessed.
    #[display("cannot access `{}`", path.display())]
    File { path: PathBuf, source: io::Error },
    /// Disk full or quota exceeded.
    #[display("no space is left for `{}`: free some, then start the daemon again", path.display())]
    Full { path: PathBuf },
    /// Record that cannot be encoded.
    #[display("cannot encode a record for `{}`", path.display())]
    Encode { path: PathBuf, source: postcard::Error },
    /// Data folder of another daemon.
    #[display("data folder `{}` belongs to daemon `{found}`, not to `{expected}`", path.display())]
    Foreign { path: PathBuf, found: Name, expected: Name },
    /// Data folder with another format version.
    #[display("data folder `{}` has version {found}, this build reads {expected}", path.display())]
    Version { path: PathBuf, found: u32, expected: u32 },
    /// Data folder that another process has locked.
    #[display("data folder `{}` is in use by another process", path.display())]
    Locked { path: PathBuf },
    /// Damaged frame or record that is not just the truncated end of the log.
    #[display(
        "`{}` is damaged at byte {offset}: move the data folder away, start the daemon with an \
         empty one, and replace this voter",
        path.display()
    )]
    Damaged { path: PathBuf, offset: u64 },
    /// Write after an earlier write or sync has failed.
    #[display("`{}` takes no more records: an earlier write or sync failed", path.display())]
    Ended { path: PathBuf },
}

impl Error {
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_path_buf();
        move |source| match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { path },
            _ => Self::File { path, source },
        }
    }
}
