//! Log of JSON lines on standard output, written by its own thread. Lines that the reader does not
//! take in time are dropped and counted, and each kind of line has a limit per second, so that
//! logging never delays a request.

use {super::*, crossbeam::channel, std::io::Write, std::thread::JoinHandle};

/// Maximum number of lines of one kind per second.
const MAX_LINES_PER_SECOND: u32 = 40;

/// The same for `job-summary` and `call-stopped`, several times the number of jobs that end in a
/// second in a fleet of the largest size.
const MAX_SUMMARIES_PER_SECOND: u32 = 1000;

/// Maximum number of batches that wait for the reader.
const MAX_PENDING_BATCHES: usize = 256;

/// Creates an effect that writes a log line.
pub(crate) fn line(what: &'static str, about: String, why: &str) -> Effect {
    Effect::Note(Note { what, about, why: why.into() })
}

/// Log of one daemon.
#[derive(Debug)]
pub(crate) struct Log {
    daemon: String,
    /// Lines since the last flush.
    batch: Vec<u8>,
    lines: u64,
    /// `None` after the log was closed.
    writer: Option<channel::Sender<Vec<u8>>>,
    thread: Option<JoinHandle<()>>,
    /// Current second of the wall clock, to which `counts` applies.
    second: u64,
    /// Number of lines in the current second, by kind.
    counts: BTreeMap<&'static str, u32>,
    /// Lines dropped since the last line that was written.
    dropped: u64,
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    daemon: &'a str,
    what: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    about: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    why: &'a str,
    #[serde(skip_serializing_if = "is_zero")]
    dropped: u64,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl Log {
    pub(crate) fn new(daemon: &str) -> Self {
        let (writer, batches) = channel::bounded::<Vec<u8>>(MAX_PENDING_BATCHES);
        let thread = std::thread::spawn(move || {
            let mut out = std::io::stdout();
            for batch in batches {
                // Standard output was closed, so the error cannot be reported.
                if out.write_all(&batch).is_err() {
                    return;
                }
            }
        });
        Self {
            daemon: daemon.into(),
            batch: Vec::new(),
            lines: 0,
            writer: Some(writer),
            thread: Some(thread),
            second: 0,
            counts: BTreeMap::new(),
            dropped: 0,
        }
    }

    pub(crate) fn write(&mut self, unix: job::UnixMs, note: &Note) {
        if unix / 1000 != self.second {
            self.second = unix / 1000;
            self.counts.clear();
        }
        let count = self.counts.entry(note.what).or_default();
        *count += 1;
        let limit = match note.what {
            "job-summary" | "call-stopped" => MAX_SUMMARIES_PER_SECOND,
            _ => MAX_LINES_PER_SECOND,
        };
        if *count > limit {
            self.dropped += 1;
            return;
        }
        let line = Line {
            at_ms: unix,
            daemon: &self.daemon,
            what: note.what,
            about: &note.about,
            why: &note.why,
            dropped: self.dropped,
        };
        if serde_json::to_writer(&mut self.batch, &line).is_ok() {
            self.batch.push(b'\n');
            self.lines += 1;
            self.dropped = 0;
        }
    }

    /// Passes the pending lines to the writer thread, or drops them if the reader has stalled.
    pub(crate) fn flush(&mut self) {
        if self.batch.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        let lines = std::mem::take(&mut self.lines);
        let accepted = self.writer.as_ref().is_some_and(|writer| writer.try_send(batch).is_ok());
        self.dropped += if accepted { 0 } else { lines };
    }

    /// Writes the remaining lines before the process ends.
    pub(crate) fn close(&mut self) {
        self.flush();
        self.writer = None;
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}
