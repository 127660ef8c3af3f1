use super::*;

/// One condition of a selector.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Requirement {
    /// The label has this value.
    #[display("{_0}={_1}")]
    Is(Name, Name),
    /// The label is absent or has another value.
    #[display("{_0}!={_1}")]
    Not(Name, Name),
    /// The label is present, with any value.
    #[display("{_0}")]
    Has(Name),
}

impl Requirement {
    /// Whether `labels` meet this condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        match self {
            Self::Is(key, value) => labels.get(key) == Some(value),
            Self::Not(key, value) => labels.get(key) != Some(value),
            Self::Has(key) => labels.contains_key(key),
        }
    }
}
