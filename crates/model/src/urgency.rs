use super::*;

/// How much a job presses, from the least.
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
    /// Runs where room is left.
    #[display("batch")]
    Batch,
    /// Runs in its turn.
    #[default]
    #[display("normal")]
    Normal,
    /// Starts at once, in the place of less urgent jobs where it must.
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
