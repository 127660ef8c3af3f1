use super::*;

/// Urgency of a job, in ascending order.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Runs after all others, when there is room left.
    #[display("batch")]
    Batch,
    /// Runs in order of the latest start time that meets its deadline.
    #[default]
    #[display("normal")]
    Normal,
    /// Starts as soon as possible, preempting less urgent jobs if necessary.
    #[display("urgent")]
    Urgent,
}

impl FromStr for Urgency {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "batch" => Ok(Self::Batch),
            "normal" => Ok(Self::Normal),
            "urgent" => Ok(Self::Urgent),
            _ => Err(Error::Urgency { urgency: text.into() }),
        }
    }
}
