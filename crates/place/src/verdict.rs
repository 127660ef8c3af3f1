use super::*;

/// Answer to the submission of a job.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The job is accepted and waits to be placed.
    #[display("accepted")]
    Accepted,
    /// The job is kept, but cannot run unless workers or quotas change.
    #[display("can never run: {}", lack::list(lacks))]
    Never {
        /// Requirements that cannot be met.
        lacks: Vec<Lack>,
    },
    /// The job was cancelled before it was submitted.
    #[display("cancelled before it came")]
    Cancelled,
    /// The id is already used by a different job.
    #[display("another job has this id")]
    Taken,
    /// The job is refused, as [`State::MAX_JOBS`] jobs have not ended.
    #[display("too many jobs are held")]
    Full,
}
