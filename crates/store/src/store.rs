use super::*;

/// An open data folder.
#[derive(Debug)]
pub struct Store<M = Folder> {
    medium: M,
    header: Header,
    /// Number of the current log.
    number: u64,
    /// Records that have not been written yet.
    batch: Vec<Record>,
    /// Last vote record, which the next log must repeat.
    vote: Option<Record>,
    /// Whether a write or sync has failed.
    failed: bool,
}

/// Start of the names of log files.
const LOG: &str = "log-";
/// Log file of format version 1.
const VERSION_1_LOG: &str = "log";

impl Store {
    /// Opens `folder` for `daemon`, and reads its state. An empty folder is initialised as a new
    /// disk with the identity `disk`.
    pub fn open(folder: &Path, daemon: &Name, disk: u64) -> Result<(Self, PersistentState)> {
        Self::open_medium(Folder::open(folder)?, daemon, disk)
    }
}

impl<M: Medium> Store<M> {
    /// Opens the data folder on `medium`; see [`Store::open`].
    pub fn open_medium(medium: M, daemon: &Name, disk: u64) -> Result<(Self, PersistentState)> {
        let names = names(&medium)?;
        if names.iter().any(|name| name == VERSION_1_LOG) {
            let path = medium.path().to_path_buf();
            return Err(Error::Version { path, found: 1, expected: Header::VERSION });
        }
        let numbers = names.iter().filter_map(|name| name.strip_prefix(LOG)?.parse().ok());
        match numbers.max() {
            Some(number) => Self::reopen(medium, daemon, number),
            None => Self::create(medium, daemon, disk),
        }
    }

    /// Adds `record` to the batch; it is durable once [`Store::sync`] has returned.
    pub fn append(&mut self, record: Record) {
        self.batch.push(record);
    }

    /// Makes all added records durable. After a failure, all further calls fail.
    pub fn sync(&mut self) -> Result {
        if self.failed {
            return Err(Error::Ended { path: self.medium.path().join(log_name(self.number)) });
        }
        let batch = std::mem::take(&mut self.batch);
        let result = self.write_batch(batch);
        self.failed = result.is_err();
        result
    }

    fn create(mut medium: M, daemon: &Name, disk: u64) -> Result<(Self, PersistentState)> {
        let header = Header { version: Header::VERSION, daemon: daemon.clone(), disk };
        let number = 1;
        let bytes = encode(&medium.path().join(log_name(number)), &header, number, &[])?;
        create_log(&mut medium, number, &bytes)?;
        let store = Self { medium, header, number, batch: Vec::new(), vote: None, failed: false };
        Ok((store, PersistentState { disk: Some(disk), ..PersistentState::default() }))
    }

    /// Restores the state from log `number`, and cuts off a truncated frame at its end.
    fn reopen(mut medium: M, daemon: &Name, number: u64) -> Result<(Self, PersistentState)> {
        let name = log_name(number);
        let path = medium.path().join(&name);
        let bytes = medium.read(&name).map_err(Error::file(&path))?;
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
        if !rest.is_empty() {
            medium.truncate(&name, length).map_err(Error::file(&path))?;
        }
        // The process may have ended between a write and its sync.
        medium.sync(&name).map_err(Error::file(&path))?;
        sync_names(&mut medium)?;
        remove_stale_logs(&mut medium, number)?;
        let vote = Some(Record::Vote { term: restored.term, vote: restored.vote.clone() });
        let store = Self { medium, header, number, batch: Vec::new(), vote, failed: false };
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
        let name = log_name(self.number);
        let path = self.medium.path().join(&name);
        let mut bytes = Vec::new();
        write_frame(&path, &mut bytes, &batch, self.header.record_salt(self.number))?;
        self.medium.append(&name, &bytes).map_err(Error::file(&path))?;
        self.medium.sync(&name).map_err(Error::file(&path))
    }

    /// Starts a new log with `batch`, whose first record is a snapshot. The new log replaces the
    /// current one.
    fn start_log(&mut self, batch: &[Record]) -> Result {
        let number = self.number + 1;
        let path = self.medium.path().join(log_name(number));
        let records: Vec<_> = batch.iter().chain(&self.vote).collect();
        let bytes = encode(&path, &self.header, number, &records)?;
        create_log(&mut self.medium, number, &bytes)?;
        self.number = number;
        remove_stale_logs(&mut self.medium, number)
    }
}

fn log_name(number: u64) -> String {
    format!("{LOG}{number:010}")
}

fn names<M: Medium>(medium: &M) -> Result<Vec<String>> {
    medium.names().map_err(Error::file(medium.path()))
}

/// Creates a log file atomically: it appears under its name only once all of it is durable.
fn create_log<M: Medium>(medium: &mut M, number: u64, bytes: &[u8]) -> Result {
    let name = log_name(number);
    let temporary = format!("{name}.tmp");
    let path = medium.path().join(&temporary);
    medium.create(&temporary).map_err(Error::file(&path))?;
    medium.append(&temporary, bytes).map_err(Error::file(&path))?;
    medium.sync(&temporary).map_err(Error::file(&path))?;
    medium.rename(&temporary, &name).map_err(Error::file(&path))?;
    sync_names(medium)
}

/// Removes the files that a crash may have left behind: logs other than `number`, and temporary
/// files.
fn remove_stale_logs<M: Medium>(medium: &mut M, number: u64) -> Result {
    let current = log_name(number);
    let is_stale = |name: &String| name.starts_with(LOG) && *name != current;
    let stale: Vec<_> = names(medium)?.into_iter().filter(is_stale).collect();
    for name in &stale {
        medium.remove(name).map_err(Error::file(&medium.path().join(name)))?;
    }
    if stale.is_empty() { Ok(()) } else { sync_names(medium) }
}

fn sync_names<M: Medium>(medium: &mut M) -> Result {
    medium.sync_names().map_err(Error::file(medium.path()))
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
    let encode = |source| Error::Encode { path: path.to_path_buf(), source };
    Frame::write(bytes, value, salt).map_err(encode)
}
