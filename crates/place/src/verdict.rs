use super::*;

/// Answer to the submission of a job.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It is taken, and runs when its turn comes.
    #[display("accepted")]
    Accepted,
    /// It is taken, but no worker could ever run it.
    #[display("can never run: {}", lack::list(lacks))]
    Never {
        /// What it lacks.
        lacks: Vec<Lack>,
    },
    /// It was cancelled before it came.
    #[display("cancelled before it came")]
    Cancelled,
    /// Another job has this id.
    #[display("another job has this id")]
    Taken,
    /// Too many jobs are held.
    #[display("too many jobs are held")]
    Full,
}
