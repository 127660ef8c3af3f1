//! JSON lines on standard output. A line that cannot be written at once is dropped and counted, and
//! each kind of line has a budget a second, so that logging never delays a request.

use {super::*, std::io::Write};

/// Lines of one kind in a second.
const LINES_PER_SECOND: u32 = 40;

/// Makes a line about a decision.
pub(crate) fn line(what: &'static str, about: String, why: &str) -> Effect {
    Effect::Note(Note { what, about, why: why.into() })
}

/// Writes lines of one daemon.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    daemon: String,
    second: u64,
    counts: BTreeMap<&'static str, u32>,
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

impl Journal {
    pub(crate) fn new(daemon: &str) -> Self {
        Self { daemon: daemon.into(), ..Self::default() }
    }

    pub(crate) fn write(&mut self, unix: job::Unix, note: &Note) {
        if unix / 1000 != self.second {
            self.second = unix / 1000;
            self.counts.clear();
        }
        let count = self.counts.entry(note.what).or_default();
        *count += 1;
        if *count > LINES_PER_SECOND {
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
        let Ok(mut text) = serde_json::to_vec(&line) else { return };
        text.push(b'\n');
        match std::io::stdout().lock().write_all(&text) {
            Ok(()) => self.dropped = 0,
            Err(_) => self.dropped += 1,
        }
    }
}
