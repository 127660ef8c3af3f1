use super::*;

/// What may go wrong with the data folder.
#[allow(missing_docs)]
#[derive(Debug, Display, Error)]
pub enum Error {
    /// File or folder that cannot be used.
    #[display("cannot access `{}`", path.display())]
    File { path: PathBuf, source: io::Error },
    /// Record that cannot be encoded.
    #[display("cannot encode a record for `{}`", path.display())]
    Encode { path: PathBuf, source: postcard::Error },
    /// Folder that another daemon wrote.
    #[display("data folder `{}` belongs to daemon `{found}`, not to `{expected}`", path.display())]
    Foreign { path: PathBuf, found: Name, expected: Name },
    /// Folder of another version.
    #[display("data folder `{}` has version {found}, this build reads {expected}", path.display())]
    Version { path: PathBuf, found: u32, expected: u32 },
    /// Record that is damaged although others follow it.
    #[display(
        "`{}` is damaged at byte {offset}: restore the folder, or replace this voter",
        path.display()
    )]
    Damaged { path: PathBuf, offset: u64 },
}

impl Error {
    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_path_buf();
        move |source| Self::File { path, source }
    }
}
