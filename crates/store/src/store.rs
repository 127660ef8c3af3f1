use super::*;

/// An open data folder.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: File,
    buffer: Vec<u8>,
}

impl Store {
    const LOG: &str = "log";

    /// Opens `folder` for `daemon`, creating it where it is missing, and reads what it holds.
    pub fn open(folder: &Path, daemon: &Name) -> Result<(Self, Restored)> {
        fs::create_dir_all(folder).map_err(Error::file(folder))?;
        let path = folder.join(Self::LOG);
        let fresh = !path.exists();
        let file = OpenOptions::new().create(true).append(true).read(true).open(&path);
        let file = file.map_err(Error::file(&path))?;
        let mut store = Self { path, file, buffer: Vec::new() };
        let restored = store.read(daemon)?;
        if fresh {
            let folder_file = File::open(folder).map_err(Error::file(folder))?;
            folder_file.sync_all().map_err(Error::file(folder))?;
        }
        Ok((store, restored))
    }

    /// Writes `record`; it is kept once [`Store::sync`] has returned.
    pub fn append(&mut self, record: &Record) -> Result {
        self.write(record)
    }

    /// Waits until everything written is on disk. A failure is final for the process.
    pub fn sync(&mut self) -> Result {
        self.file.write_all(&self.buffer).map_err(Error::file(&self.path))?;
        self.buffer.clear();
        self.file.sync_data().map_err(Error::file(&self.path))
    }

    fn write<T: Serialize>(&mut self, value: &T) -> Result {
        let encoded = postcard::to_stdvec(value);
        let body = encoded.map_err(|source| Error::Encode { path: self.path.clone(), source })?;
        Frame::write(&mut self.buffer, &body);
        Ok(())
    }

    fn read(&mut self, daemon: &Name) -> Result<Restored> {
        let bytes = fs::read(&self.path).map_err(Error::file(&self.path))?;
        let mut restored = Restored::default();
        let mut rest = bytes.as_slice();
        let mut first = true;
        while let Some(frame) = Frame::split(rest) {
            let offset = (bytes.len() - rest.len()) as u64;
            if first {
                self.decode::<Header>(frame.body, offset)?.check(&self.path, daemon)?;
            } else {
                restore(&mut restored, self.decode(frame.body, offset)?);
            }
            first = false;
            rest = frame.rest;
        }
        self.cut(bytes.len() - rest.len(), rest)?;
        if first {
            self.write(&Header { version: Header::VERSION, daemon: daemon.clone() })?;
            self.sync()?;
        }
        Ok(restored)
    }

    fn decode<T: for<'a> Deserialize<'a>>(&self, body: &[u8], offset: u64) -> Result<T> {
        let path = self.path.clone();
        postcard::from_bytes(body).map_err(|_| Error::Damaged { path, offset })
    }

    /// Cuts a torn tail; a tail with a whole record in it is damage.
    fn cut(&mut self, length: usize, tail: &[u8]) -> Result {
        if tail.is_empty() {
            return Ok(());
        }
        if Frame::follows(tail) {
            return Err(Error::Damaged { path: self.path.clone(), offset: length as u64 });
        }
        self.file.set_len(length as u64).map_err(Error::file(&self.path))?;
        self.file.sync_all().map_err(Error::file(&self.path))
    }
}

fn restore(restored: &mut Restored, record: Record) {
    match record {
        Record::Vote { term, vote } => {
            restored.term = term;
            restored.vote = vote;
        }
        Record::Entries { first, entries } => {
            restored.entries.truncate(first as usize - 1);
            restored.entries.extend(entries);
        }
    }
}
