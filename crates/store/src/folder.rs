use super::*;

/// A data folder on disk, locked by this process.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The folder itself, open to lock and sync it.
    file: File,
    /// File used last.
    open: Option<(String, File)>,
}

impl Folder {
    /// Opens the folder at `path`, which is created if it is missing.
    pub(crate) fn open(path: &Path) -> Result<Self> {
        fs::create_dir_all(path).map_err(Error::file(path))?;
        let file = File::open(path).map_err(Error::file(path))?;
        let path = path.to_path_buf();
        match file.try_lock() {
            Ok(()) => Ok(Self { path, file, open: None }),
            Err(fs::TryLockError::WouldBlock) => Err(Error::Locked { path }),
            Err(fs::TryLockError::Error(source)) => Err(Error::file(&path)(source)),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let open = self.open.take().filter(|(open, _)| open == name);
        let (name, file) = match open {
            Some(open) => open,
            None => {
                let file = OpenOptions::new().append(true).open(self.path.join(name))?;
                (name.to_string(), file)
            }
        };
        Ok(&mut self.open.insert((name, file)).1)
    }
}

impl Medium for Folder {
    fn path(&self) -> &Path {
        &self.path
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name()));
        let names = names.filter_map(|name| name.map(|name| name.into_string().ok()).transpose());
        names.collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.open = Some((name.to_string(), File::create(self.path.join(name))?));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        if let Some((name, _)) = self.open.as_mut().filter(|(name, _)| name == from) {
            *name = to.to_string();
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.take_if(|(open, _)| open == name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.file.sync_all()
    }
}
