use super::*;

/// What may go wrong with the data folder.
#[allow(missing_docs)]
#[derive(Debug, Display, Error)]
pub enum Error {
    /// File or folder that cannot be used.
    #[display("cannot access `{}`", path.display())]
    File { path: PathBuf, source: io::Error },
    /// No space is left.
    #[display("no space is left for `{}`: free some, then start the daemon again", path.display())]
    Full { path: PathBuf },
    /// Record that cannot be encoded.
    #[display("cannot encode a record for `{}`", path.display())]
    Encode { path: PathBuf, source: postcard::Error },
    /// Folder that another daemon wrote.
    #[display("data folder `{}` belongs to daemon `{found}`, not to `{expected}`", path.display())]
    Foreign { path: PathBuf, found: Name, expected: Name },
    /// Folder of another version.
    #[display("data folder `{}` has version {found}, this build reads {expected}", path.display())]
    Version { path: PathBuf, found: u32, expected: u32 },
    /// Folder that a running process uses.
    #[display("data folder `{}` is in use by another process", path.display())]
    Locked { path: PathBuf },
    /// Record that is damaged although others follow it.
    #[display(
        "`{}` is damaged at byte {offset}: move the data folder away, start the daemon with an \
         empty one, and replace this voter",
        path.display()
    )]
    Damaged { path: PathBuf, offset: u64 },
    /// Write after a failed one.
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
