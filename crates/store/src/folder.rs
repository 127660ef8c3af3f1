use super::*;

/// The data folder, locked by this process.
#[derive(Debug)]
pub(crate) struct Folder {
    pub(crate) path: PathBuf,
    /// The folder itself, open to lock and sync it.
    file: File,
}

impl Folder {
    const LOG: &str = "log-";
    const TEMPORARY: &str = ".tmp";
    /// Log file of format version 1.
    const VERSION_1_LOG: &str = "log";

    pub(crate) fn open(path: &Path) -> Result<Self> {
        fs::create_dir_all(path).map_err(Error::file(path))?;
        let file = File::open(path).map_err(Error::file(path))?;
        let path = path.to_path_buf();
        match file.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => return Err(Error::Locked { path }),
            Err(fs::TryLockError::Error(source)) => return Err(Error::file(&path)(source)),
        }
        if path.join(Self::VERSION_1_LOG).exists() {
            return Err(Error::Version { path, found: 1, expected: Header::VERSION });
        }
        Ok(Self { path, file })
    }

    /// Numbers of the log files, in ascending order.
    pub(crate) fn logs(&self) -> Result<Vec<u64>> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(&self.path).map_err(Error::file(&self.path))? {
            let name = entry.map_err(Error::file(&self.path))?.file_name();
            let number = name.to_str().and_then(|name| name.strip_prefix(Self::LOG));
            numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    pub(crate) fn log_path(&self, number: u64) -> PathBuf {
        self.path.join(format!("{}{number:010}", Self::LOG))
    }

    /// Creates a log file atomically: it appears under its name only once all of it is durable.
    pub(crate) fn create(&self, number: u64, bytes: &[u8]) -> Result<File> {
        let path = self.log_path(number);
        let temporary = path.with_added_extension(&Self::TEMPORARY[1..]);
        let mut file = File::create(&temporary).map_err(Error::file(&temporary))?;
        file.write_all(bytes).map_err(Error::file(&temporary))?;
        file.sync_all().map_err(Error::file(&temporary))?;
        fs::rename(&temporary, &path).map_err(Error::file(&path))?;
        self.sync()?;
        Ok(file)
    }

    /// Removes the files that a crash may have left behind: logs other than `number`, and temporary
    /// files.
    pub(crate) fn remove_stale_logs(&self, number: u64) -> Result {
        for entry in fs::read_dir(&self.path).map_err(Error::file(&self.path))? {
            let path = entry.map_err(Error::file(&self.path))?.path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            if name.starts_with(Self::LOG) && path != self.log_path(number) {
                fs::remove_file(&path).map_err(Error::file(&path))?;
            }
        }
        self.sync()
    }

    fn sync(&self) -> Result {
        self.file.sync_all().map_err(Error::file(&self.path))
    }
}
