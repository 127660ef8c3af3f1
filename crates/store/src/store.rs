use super::*;

/// An open data folder.
#[derive(Debug)]
pub struct Store {
    folder: Folder,
    header: Header,
    /// Number of the current log.
    number: u64,
    file: File,
    /// Records that have not been written yet.
    batch: Vec<Record>,
    /// Last vote record, which the next log must repeat.
    vote: Option<Record>,
    /// Whether a write or sync has failed.
    failed: bool,
}

impl Store {
    /// Opens `folder` for `daemon`, and reads its state. An empty folder is initialised as a new
    /// disk with the identity `disk`.
    pub fn open(folder: &Path, daemon: &Name, disk: u64) -> Result<(Self, PersistentState)> {
        let folder = Folder::open(folder)?;
        match folder.logs()?.last() {
            Some(number) => Self::reopen(folder, daemon, *number),
            None => Self::create(folder, daemon, disk),
        }
    }

    /// Adds `record` to the batch; it is durable once [`Store::sync`] has returned.
    pub fn append(&mut self, record: Record) {
        self.batch.push(record);
    }

    /// Makes all added records durable. After a failure, all further calls fail.
    pub fn sync(&mut self) -> Result {
        if self.failed {
            return Err(Error::Ended { path: self.folder.log_path(self.number) });
        }
        let batch = std::mem::take(&mut self.batch);
        let result = self.write_batch(batch);
        self.failed = result.is_err();
        result
    }

    fn create(folder: Folder, daemon: &Name, disk: u64) -> Result<(Self, PersistentState)> {
        let header = Header { version: Header::VERSION, daemon: daemon.clone(), disk };
        let number = 1;
        let bytes = encode(&folder.log_path(number), &header, number, &[])?;
        let file = folder.create(number, &bytes)?;
        let store =
            Self { folder, header, number, file, batch: Vec::new(), vote: None, failed: false };
        Ok((store, PersistentState { disk: Some(disk), ..PersistentState::default() }))
    }

    /// Restores the state from log `number`, and cuts off a truncated frame at its end.
    fn reopen(folder: Folder, daemon: &Name, number: u64) -> Result<(Self, PersistentState)> {
        let path = folder.log_path(number);
        let bytes = fs::read(&path).map_err(Error::file(&path))?;
        let damaged_at = |offset| Error::Damaged { path: path.clone(), offset };
        let first = Frame::split(&bytes, Header::SALT).ok_or_else(|| damaged_at(0))?;
        let header = Header::read(&path, first.body, daemon)?;
        let salt = header.record_salt(number);
        let mut restored =
            PersistentState { disk: Some(header.disk), ..PersistentState::default() };
        let mut rest = first.rest;
        // A log appears whole under its name, with the header and the first records.
        if Frame::split(rest, salt).is_none() {
            return Err(damaged_at((bytes.len() - rest.len()) as u64));
        }
        while let Some(frame) = Frame::split(rest, salt) {
            let offset = (bytes.len() - rest.len()) as u64;
            let batch = postcard::from_bytes::<Vec<Record>>(frame.body);
            batch
                .map_err(|_| damaged_at(offset))?
                .into_iter()
                .for_each(|record| restored.apply_record(record));
            rest = frame.rest;
        }
        let length = (bytes.len() - rest.len()) as u64;
        if Frame::has_later_frame(rest, salt) {
            return Err(damaged_at(length));
        }
        let file = OpenOptions::new().append(true).open(&path).map_err(Error::file(&path))?;
        if !rest.is_empty() {
            file.set_len(length).map_err(Error::file(&path))?;
            file.sync_all().map_err(Error::file(&path))?;
        }
        folder.remove_stale_logs(number)?;
        let vote = Some(Record::Vote { term: restored.term, vote: restored.vote.clone() });
        let store = Self { folder, header, number, file, batch: Vec::new(), vote, failed: false };
        Ok((store, restored))
    }

    fn write_batch(&mut self, batch: Vec<Record>) -> Result {
        let last_vote = batch.iter().rfind(|record| matches!(record, Record::Vote { .. }));
        self.vote = last_vote.cloned().or(self.vote.take());
        let snapshot = batch.iter().rposition(|record| matches!(record, Record::Snapshot { .. }));
        // A snapshot supersedes all earlier records but the last vote.
        match snapshot {
            Some(first) => self.start_log(&batch[first..]),
            None => self.append_to_log(&batch),
        }
    }

    fn append_to_log(&mut self, batch: &[Record]) -> Result {
        let path = self.folder.log_path(self.number);
        let mut bytes = Vec::new();
        write_frame(&path, &mut bytes, &batch, self.header.record_salt(self.number))?;
        self.file.write_all(&bytes).map_err(Error::file(&path))?;
        self.file.sync_data().map_err(Error::file(&path))
    }

    /// Starts a new log with `batch`, whose first record is a snapshot. The new log replaces the
    /// current one.
    fn start_log(&mut self, batch: &[Record]) -> Result {
        let number = self.number + 1;
        let records: Vec<_> = batch.iter().chain(&self.vote).collect();
        let bytes = encode(&self.folder.log_path(number), &self.header, number, &records)?;
        self.file = self.folder.create(number, &bytes)?;
        self.number = number;
        self.folder.remove_stale_logs(number)
    }
}

/// Encodes a complete log: the header, and `records` in one frame.
fn encode(path: &Path, header: &Header, number: u64, records: &[&Record]) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    write_frame(path, &mut bytes, header, Header::SALT)?;
    write_frame(path, &mut bytes, &records, header.record_salt(number))?;
    Ok(bytes)
}

/// Appends a frame with the encoded `value` to `bytes`; `path` is only used for errors.
fn write_frame<T: Serialize>(path: &Path, bytes: &mut Vec<u8>, value: &T, salt: u32) -> Result {
    let encoded = postcard::to_stdvec(value);
    let body = encoded.map_err(|source| Error::Encode { path: path.to_path_buf(), source })?;
    Frame::write(bytes, &body, salt);
    Ok(())
}
