use super::*;

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The change is accepted, and holds until a later change is accepted.
    Accepted {
        /// Its number.
        revision: Revision,
        /// What its author may not have meant.
        warnings: Vec<Warning>,
    },
    /// Another change came first.
    Conflict {
        /// Present revision.
        revision: Revision,
        /// Who made it.
        author: Name,
        /// Request that made it.
        request: Name,
    },
    /// Instances would be in several pools.
    Overlap(Vec<Overlap>),
    /// The wave is in this state now.
    Wave {
        /// The wave.
        wave: Name,
        /// Its state.
        standing: Standing,
        /// Instances that are not done.
        left: usize,
    },
    /// The instance is forgotten.
    Forgotten(Name),
    /// The request cannot be met.
    Refused(Refusal),
}

impl Verdict {
    /// Whether nothing was changed.
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
                write!(f, "refused: an instance is in one pool only")?;
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
