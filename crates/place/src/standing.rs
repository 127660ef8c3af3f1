use super::*;

/// Where a job stands, as an operator is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "standing")]
pub enum Standing {
    /// Nothing is known of it.
    Unknown,
    /// It was cancelled before it came.
    CancelledAhead,
    /// It waits.
    Waiting {
        /// For what.
        reason: Wait,
    },
    /// No worker could ever run it.
    Never {
        /// What it lacks.
        lacks: Vec<Lack>,
    },
    /// It has a place.
    Placed {
        /// Where, and since when.
        placement: Placement,
    },
    /// It has ended.
    Ended {
        /// How.
        outcome: Outcome,
    },
}
