use super::*;

/// Answer to the submission of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum Verdict {
    /// It is taken, and runs when its turn comes.
    Accepted,
    /// It is taken, but no worker could ever run it.
    Never {
        /// What it lacks.
        lacks: Vec<Lack>,
    },
    /// It was cancelled before it came.
    Cancelled,
    /// Another job has this id.
    Taken,
    /// Too many jobs are held.
    Full,
}
