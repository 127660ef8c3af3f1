use super::*;

/// Which daemon led at a time, from the log.
///
/// `owns` begins a term. It ends with `resigned`; a leader that was killed writes none, so its term
/// also ends with the last line that only leaders write.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    /// Times without a leader between two terms, in order.
    gaps: Vec<(UnixMs, UnixMs)>,
    /// Daemon of the current term, and the last time at which it is known to have led.
    current: Option<(String, UnixMs)>,
    /// Whether the current term has ended.
    resigned: bool,
    /// Number of terms.
    pub(crate) terms: u64,
    /// `leader-changed` lines.
    pub(crate) changes_seen: u64,
}

/// Lines that only a leader writes, and often.
const LEADER_LINES: [&str; 6] =
    ["pool", "job-summary", "job-over", "job-accepted", "group-placed", "processor-time"];

impl Leadership {
    /// Follows a line; lines come in the order of time.
    pub(crate) fn record(&mut self, line: &Line) {
        let by_leader = self.current.as_ref().is_some_and(|(daemon, _)| *daemon == line.daemon);
        match line.what.as_str() {
            "owns" => {
                if let Some((_, until)) = &self.current
                    && *until < line.at_ms
                {
                    self.gaps.push((*until, line.at_ms));
                }
                self.current = Some((line.daemon.clone(), line.at_ms));
                self.resigned = false;
                self.terms += 1;
            }
            "resigned" if by_leader => {
                self.extend(line.at_ms);
                self.resigned = true;
            }
            "leader-changed" => self.changes_seen += 1,
            what if by_leader && LEADER_LINES.contains(&what) => self.extend(line.at_ms),
            _ => {}
        }
    }

    fn extend(&mut self, at: UnixMs) {
        if let Some((_, until)) = self.current.as_mut().filter(|_| !self.resigned) {
            *until = at;
        }
    }

    /// Milliseconds without a leader between two times.
    pub(crate) fn without_leader(&self, from: UnixMs, to: UnixMs) -> u64 {
        let overlap =
            |(begin, end): &(UnixMs, UnixMs)| (*end).min(to).saturating_sub(*begin.max(&from));
        self.gaps.iter().map(overlap).sum()
    }

    /// All milliseconds without a leader between two terms.
    pub(crate) fn all_without_leader(&self) -> u64 {
        self.gaps.iter().map(|(begin, end)| end - begin).sum()
    }
}
