use super::*;

/// The requests that were run, as JSON lines in a file.
#[derive(Debug)]
pub(crate) struct Record(Mutex<File>);

/// A request that was run.
#[derive(Debug, serde::Serialize)]
pub(crate) struct Run<'a> {
    /// Identity of the request, as the daemon gave it.
    pub(crate) request: &'a str,
    /// Attempt of that daemon.
    pub(crate) attempt: &'a str,
    /// Kind of the request.
    pub(crate) kind: &'a str,
    /// Key of the caller.
    pub(crate) key: &'a str,
    /// What the caller calls the request.
    pub(crate) caller: &'a str,
    /// Runner that ran it.
    pub(crate) instance: &'a str,
}

impl Record {
    pub(crate) fn open(path: &Path) -> eyre::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self(Mutex::new(file)))
    }

    /// Appends `run` in one write.
    pub(crate) fn push(&self, run: &Run) {
        let mut line = serde_json::to_string(run).expect("strings serialize");
        line.push('\n');
        let mut file = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(line.as_bytes()).expect("the record can be written");
    }
}
