use super::*;

/// A job that missed its objective.
#[derive(Debug, Clone, Serialize)]
pub struct LateJob {
    /// Id of the job.
    pub id: String,
    /// Queue of the job.
    pub queue: String,
    /// Organisation that submitted it; `None` for an anonymous caller.
    pub organisation: Option<String>,
    /// When it was submitted, in milliseconds since 1970.
    pub submitted_at: UnixMs,
    /// Milliseconds from the submission to the end.
    pub took: u64,
    /// Milliseconds allowed.
    pub objective: u64,
    /// Whether it ended without success.
    pub failed: bool,
    /// The cause that cost it most.
    pub cause: Cause,
    /// Milliseconds by which it ended after its objective.
    pub lateness: u64,
    /// The same by cause.
    pub lateness_by_cause: ByCause,
    /// Whether part of it is estimated from `pool` lines, for the time under an earlier leader or
    /// for lack of a `job-summary`.
    pub is_estimated: bool,
}

impl LateJob {
    pub(crate) fn new(job: &Job, leadership: &Leadership, pools: &PoolCauses) -> Self {
        let (costs, is_estimated) = job.costs(leadership, pools);
        Self {
            id: job.id.clone(),
            queue: job.queue.clone(),
            organisation: job.organisation.clone(),
            submitted_at: job.submitted_at(),
            took: job.took,
            objective: job.objective,
            failed: job.failed,
            cause: costs.largest().unwrap_or(Cause::Unknown),
            lateness: job.lateness(),
            lateness_by_cause: costs.split(job.lateness()),
            is_estimated,
        }
    }
}
