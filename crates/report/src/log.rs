use super::*;

/// Longest line that is read; the rest of a longer one is skipped.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Lines of the logs of all daemons that the report uses.
#[derive(Debug, Default)]
pub struct Log {
    lines: Vec<Line>,
    summary: LogSummary,
}

/// What was read, and what was not used.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LogSummary {
    /// Lines that were read.
    pub lines: u64,
    /// Lines that are no log lines.
    pub not_parsed: u64,
    /// Log lines of kinds that the report does not use.
    pub other_kinds: u64,
    /// Fields that the report does not know.
    pub unknown_fields: u64,
    /// Lines of a known kind without the fields that they should have.
    pub malformed: u64,
    /// Lines that daemons left out, of all kinds.
    pub dropped: u64,
    /// `job-summary` lines that are missing, by their numbers.
    pub missing_summaries: u64,
    /// Terms of leaders.
    pub terms: u64,
    /// Times that a daemon saw the leader change.
    pub leader_changes_seen: u64,
    /// Milliseconds without a leader between terms.
    pub without_leader_ms: u64,
}

/// Kinds of lines that the report uses.
const KINDS: [&str; 9] = [
    "job-summary",
    "job-over",
    "job-accepted",
    "group-placed",
    "processor-time",
    "pool",
    "owns",
    "resigned",
    "leader-changed",
];

impl Log {
    /// Reads the log of one or several daemons. Lines that cannot be used are counted.
    pub fn read(&mut self, mut reader: impl BufRead) -> Result {
        let mut bytes = Vec::new();
        let mut continues = false;
        loop {
            bytes.clear();
            if reader.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut bytes)? == 0 {
                return Ok(());
            }
            let rest_of_line = std::mem::replace(&mut continues, bytes.last() != Some(&b'\n'));
            if !rest_of_line {
                self.read_line(&String::from_utf8_lossy(&bytes));
            }
        }
    }

    fn read_line(&mut self, text: &str) {
        self.summary.lines += 1;
        match Line::parse(text.trim_end()) {
            None => self.summary.not_parsed += 1,
            Some(line) => {
                self.summary.dropped = self.summary.dropped.saturating_add(line.dropped);
                if KINDS.contains(&line.what.as_str()) {
                    self.lines.push(line);
                } else {
                    self.summary.other_kinds += 1;
                }
            }
        }
    }

    /// The lines of all daemons in the order of time, and what was read.
    pub(crate) fn merge(mut self) -> (Vec<Line>, LogSummary) {
        self.lines.sort_by_key(|line| line.at_ms);
        (self.lines, self.summary)
    }
}
