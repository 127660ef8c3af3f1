use super::*;

/// Status of a job, as reported to operators.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "standing")]
pub enum Standing {
    /// No job with this id is known.
    #[display("unknown")]
    Unknown,
    /// It was cancelled before it was submitted.
    #[display("cancelled before it came")]
    CancelledAhead,
    /// It waits to be placed.
    #[display("waits: {reason}")]
    Waiting {
        /// Why it waits.
        reason: Wait,
    },
    /// It cannot run unless workers or quotas change.
    #[display("can never run: {}", lack::list(lacks))]
    Never {
        /// Requirements that cannot be met.
        lacks: Vec<Lack>,
    },
    /// It is placed on a worker.
    #[display("{placement}")]
    Placed {
        /// The placement.
        placement: Placement,
    },
    /// It has ended.
    #[display("{outcome}")]
    Ended {
        /// How it ended.
        outcome: Outcome,
    },
}
