use super::*;

/// Log of the requests that were run, as JSON lines in a file.
#[derive(Debug)]
pub(crate) struct RunLog(Mutex<File>);

/// A request that was run.
#[derive(Debug, serde::Serialize)]
pub(crate) struct Run<'a> {
    /// Id that the daemon gave to the request.
    pub(crate) request: &'a str,
    /// Number of the attempt.
    pub(crate) attempt: &'a str,
    /// Kind of the request.
    pub(crate) kind: &'a str,
    /// Idempotency key of the caller.
    pub(crate) key: &'a str,
    /// Id that the caller gave to the request.
    pub(crate) caller: &'a str,
    /// Upstream that ran it.
    pub(crate) instance: &'a str,
}

impl RunLog {
    /// Opens a file for appending; creates it if needed.
    pub(crate) fn open(path: &Path) -> eyre::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self(Mutex::new(file)))
    }

    /// Appends `run` in one write, so that concurrent processes do not mix their lines.
    pub(crate) fn push(&self, run: &Run) {
        let mut line = serde_json::to_string(run).expect("strings serialize");
        line.push('\n');
        let mut file = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(line.as_bytes()).expect("the run log can be written");
    }
}
