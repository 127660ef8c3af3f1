use super::*;

/// A job that has ended, from its `job-summary` line; or from `job-over` if that is missing.
#[derive(Debug, Clone, Default)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) ended_at: UnixMs,
    pub(crate) failed: bool,
    /// `None` if the log does not tell.
    pub(crate) pool: Option<String>,
    pub(crate) queue: String,
    /// `None` for an anonymous caller.
    pub(crate) organisation: Option<String>,
    /// Declared work, in processor milliseconds; `None` if the log does not tell.
    pub(crate) work: Option<u64>,
    /// Milliseconds from the submission to the end.
    pub(crate) took: u64,
    pub(crate) objective: u64,
    /// Declared critical path, in milliseconds.
    pub(crate) declared: u64,
    /// Milliseconds in which every task that was ready ran, without `lost`.
    run: u64,
    /// Milliseconds of attempts that had to be repeated.
    lost: u64,
    /// Milliseconds from the submission to the term of the leader that wrote the line.
    before: u64,
    /// Milliseconds waited, by cause.
    waits: ByCause,
    /// Whether the line is a `job-summary`.
    pub(crate) has_summary: bool,
}

/// Fields of `job-summary` besides the waits.
const SUMMARY_FIELDS: [&str; 18] = [
    "completed",
    "failed",
    "cancelled",
    "number",
    "took",
    "objective",
    "first",
    "last",
    "run",
    "declared",
    "lost",
    "before",
    "attempts",
    "gone",
    "tasks",
    "work",
    "queue",
    "organisation",
];

impl Job {
    /// Parses a `job-summary` line; `None` for a job that was cancelled, or if a field is missing
    /// that every line has. Unknown fields are counted.
    pub(crate) fn from_summary(line: &Line, unknown_fields: &mut u64) -> Option<Self> {
        let fields = Fields::parse(&line.why);
        let state = line.why.split(", ").next()?;
        let mut waits = ByCause::default();
        for name in fields.names() {
            match Cause::of_wait(name) {
                Some(cause) => waits.add(cause, fields.number_or_zero(name)),
                None => *unknown_fields += u64::from(!SUMMARY_FIELDS.contains(&name)),
            }
        }
        if !matches!(state, "completed" | "failed") {
            return None;
        }
        Some(Self {
            id: line.about.clone(),
            ended_at: line.at_ms,
            failed: state == "failed",
            pool: fields.pool.map(String::from),
            queue: fields.queue?.into(),
            organisation: fields.organisation.filter(|name| *name != "-").map(String::from),
            work: fields.number("work"),
            took: fields.number("took")?,
            objective: fields.number("objective")?,
            declared: fields.number_or_zero("declared"),
            run: fields.number_or_zero("run"),
            lost: fields.number_or_zero("lost"),
            before: fields.number_or_zero("before"),
            waits,
            has_summary: true,
        })
    }

    /// Parses a `job-over` line: `completed in QUEUE, N ms after submission, objective N ms`.
    pub(crate) fn from_job_over(line: &Line) -> Option<Self> {
        let (rest, objective) = line.why.strip_suffix(" ms")?.rsplit_once(", objective ")?;
        let (rest, took) = rest.strip_suffix(" ms after submission")?.rsplit_once(", ")?;
        let (state, queue) = rest.split_once(" in ")?;
        if !matches!(state, "completed" | "failed") {
            return None;
        }
        let took = took.parse().ok()?;
        Some(Self {
            id: line.about.clone(),
            ended_at: line.at_ms,
            failed: state == "failed",
            queue: queue.into(),
            took,
            objective: objective.parse().ok()?,
            before: took,
            ..Self::default()
        })
    }

    pub(crate) fn submitted_at(&self) -> UnixMs {
        self.ended_at.saturating_sub(self.took)
    }

    /// Milliseconds by which the job ended after its objective.
    pub(crate) fn lateness(&self) -> u64 {
        self.took.saturating_sub(self.objective)
    }

    /// Whether it ended after its objective, or without success.
    pub(crate) fn missed(&self) -> bool {
        self.failed || self.took > self.objective
    }

    /// Whether it ended after three times its objective, or without success.
    pub(crate) fn is_useless(&self) -> bool {
        self.failed || self.took > self.objective.saturating_mul(3)
    }

    /// What the job lost to each cause, against one that starts at once and runs as declared; and
    /// whether part of it is an estimate.
    ///
    /// The time under an earlier leader is charged by what tasks of the pool waited for at that
    /// time, as far as the job cannot have run.
    pub(crate) fn costs(&self, leadership: &Leadership, pools: &PoolCauses) -> (ByCause, bool) {
        let mut costs = self.waits.clone();
        costs.add(Cause::Attempt, self.lost);
        costs.add(Cause::Declared, self.run.saturating_sub(self.declared));
        let submitted_at = self.submitted_at();
        let leaderless = leadership.without_leader(submitted_at, self.ended_at).min(self.before);
        costs.add(Cause::NoLeader, leaderless);
        let may_have_run = if self.has_summary {
            self.declared.saturating_sub(self.run)
        } else {
            self.took.min(self.objective)
        };
        let waited = (self.before - leaderless).saturating_sub(may_have_run);
        let until = submitted_at.saturating_add(self.before);
        let estimate = pools.between(self, submitted_at, until).split(waited);
        costs.add_all(&estimate);
        let is_estimated = estimate.sum() > estimate.get(Cause::Unknown);
        if self.failed {
            // A job fails once a task has used up its attempts, however long that takes.
            let others = costs.sum();
            costs.add(Cause::Attempt, others.max(1));
        }
        (costs, is_estimated)
    }
}
