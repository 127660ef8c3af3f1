//! Bounds the memory of what is accepted. Each voter keeps every accepted job, and at a snapshot also
//! encoded copies of all of them; a process over its limit is killed, and would be again after it has
//! read the same jobs from its disk. So a job that would exceed the budget is refused before it is
//! proposed.

use super::*;

/// Memory that accepted jobs may take, and that of the jobs on their way into the table.
#[derive(Debug)]
pub(crate) struct Budget {
    /// Bytes that the table may take.
    limit: usize,
    /// Estimated bytes of jobs that this leader has proposed and not applied, by the index of the entry.
    proposed: BTreeMap<Index, usize>,
    /// Sum of these.
    proposed_bytes: usize,
}

/// Why a job does not fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Excess {
    /// It exceeds the whole budget.
    Alone,
    /// It exceeds what other jobs leave. Some of that is free again after this time.
    Beside(Duration),
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(Self::DEFAULT_MEMORY_MB)
    }
}

impl Budget {
    /// Part of the memory of a process that the table may take, as a divisor. At a snapshot there are
    /// three encoded copies beside it: the last one, the new one, and the file to be written; and a
    /// member that installs one has two tables for a moment.
    const MEMORY_DIVISOR: usize = 8;
    /// Memory of the smallest machine with a disk among the known deployments, which is safe for all.
    pub(crate) const DEFAULT_MEMORY_MB: u32 = 256;
    /// After how long callers are told to return if no memory is known to be freed.
    const RETRY_AFTER: Duration = Duration::from_secs(10);
    /// Shortest time after which callers are told to return.
    const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

    /// The budget of a process that may take `memory_mb` megabytes.
    pub(crate) fn new(memory_mb: u32) -> Self {
        let limit = (memory_mb as usize).saturating_mul(1 << 20) / Self::MEMORY_DIVISOR;
        Self { limit, proposed: BTreeMap::new(), proposed_bytes: 0 }
    }

    /// Bytes that the table may take.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Why a job of this description does not fit, if it does not.
    pub(crate) fn excess(
        &self,
        unix: job::UnixMs,
        table: &Table,
        spec: &job::Spec,
    ) -> Option<Excess> {
        let wanted = job::JobRecord::footprint_of(spec);
        if wanted > self.limit {
            return Some(Excess::Alone);
        }
        let used = table.footprint() + self.proposed_bytes;
        if used + wanted <= self.limit {
            return None;
        }
        let next_drop = table.next_drop().map(|at| Duration::from_millis(at.saturating_sub(unix)));
        let retry = next_drop.unwrap_or(Self::RETRY_AFTER);
        Some(Excess::Beside(retry.max(Self::MIN_RETRY_AFTER)))
    }

    /// Records that a job is proposed in the entry `index`.
    pub(crate) fn propose(&mut self, index: Index, spec: &job::Spec) {
        let wanted = job::JobRecord::footprint_of(spec);
        self.proposed.insert(index, wanted);
        self.proposed_bytes += wanted;
    }

    /// Records that the entry `index` has been applied.
    pub(crate) fn apply(&mut self, index: Index) {
        self.proposed_bytes -= self.proposed.remove(&index).unwrap_or_default();
    }

    /// Forgets what was proposed, when this daemon no longer leads.
    pub(crate) fn resign(&mut self) {
        self.proposed.clear();
        self.proposed_bytes = 0;
    }
}
