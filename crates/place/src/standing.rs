use super::*;

/// Where a job stands, as an operator is told.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "standing")]
pub enum Standing {
    /// Nothing is known of it.
    #[display("unknown")]
    Unknown,
    /// It was cancelled before it came.
    #[display("cancelled before it came")]
    CancelledAhead,
    /// It waits.
    #[display("waits: {reason}")]
    Waiting {
        /// For what.
        reason: Wait,
    },
    /// No worker could ever run it.
    #[display("can never run: {}", lack::list(lacks))]
    Never {
        /// What it lacks.
        lacks: Vec<Lack>,
    },
    /// It has a place.
    #[display("{placement}")]
    Placed {
        /// Where, and since when.
        placement: Placement,
    },
    /// It has ended.
    #[display("{outcome}")]
    Ended {
        /// How.
        outcome: Outcome,
    },
}
