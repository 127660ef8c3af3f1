use super::*;

/// Number of jobs without a started task, by queue, as of some moment ago. Counting walks all live
/// jobs, and many callers ask.
#[derive(Debug, Default)]
pub(crate) struct PendingCounts {
    counts: BTreeMap<Name, u64>,
    counted_at: Option<Time>,
}

impl PendingCounts {
    /// For how long a count is used again; callers are promised one that is at most 2 s old.
    const VALIDITY: Duration = Duration::from_millis(250);

    pub(crate) fn get(&mut self, now: Time, table: &Table, queue: &Name) -> u64 {
        if self.counted_at.is_none_or(|at| now >= at + Self::VALIDITY) {
            self.counted_at = Some(now);
            self.counts = table.pending();
        }
        self.counts.get(queue).copied().unwrap_or_default()
    }
}
