use super::*;

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The configuration is accepted and in force.
    Accepted {
        /// Revision of the accepted configuration.
        revision: Revision,
        /// Likely mistakes in the configuration.
        warnings: Vec<Warning>,
    },
    /// The change is refused, because it is not based on the current revision.
    Conflict {
        /// Current revision.
        revision: Revision,
        /// Operator who applied the current revision.
        author: Name,
        /// Request that applied the current revision.
        request: Name,
    },
    /// The change is refused, because several pools would select these instances.
    Overlap(Vec<Overlap>),
    /// Status of the wave after the request.
    Wave {
        /// Name of the wave.
        wave: Name,
        /// Its status.
        standing: Standing,
        /// Number of instances that the wave has not finished.
        left: usize,
    },
    /// The instance is removed from the fleet.
    Forgotten(Name),
    /// The request is refused for another reason.
    Refused(Refusal),
}

impl Verdict {
    /// Whether the request changed nothing.
    pub fn refused(&self) -> bool {
        matches!(self, Self::Conflict { .. } | Self::Overlap(_) | Self::Refused(_))
    }
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Accepted { revision, warnings } => {
                write!(f, "accepted as revision {revision}")?;
                warnings.iter().try_for_each(|warning| write!(f, "\nwarning: {warning}"))
            }
            Self::Conflict { revision, author, request } => {
                write!(f, "refused: `{author}` made revision {revision} with request `{request}`")
            }
            Self::Overlap(overlaps) => {
                write!(f, "refused: an instance can only be in one pool")?;
                overlaps.iter().try_for_each(|overlap| write!(f, "\n{overlap}"))
            }
            Self::Wave { wave, standing, left } => {
                write!(f, "wave `{wave}` is {standing}, {left} instances to go")
            }
            Self::Forgotten(instance) => write!(f, "instance `{instance}` is forgotten"),
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
        }
    }
}
