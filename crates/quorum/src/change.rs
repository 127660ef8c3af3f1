use super::*;

/// A change of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// An observer becomes a voter, with the disk that it has now.
    Voter(Name),
    /// A voter becomes an observer, or an observer joins.
    Observer(Name),
    /// A member leaves.
    Remove(Name),
}

impl Change {
    /// Member that changes.
    pub fn name(&self) -> &Name {
        match self {
            Self::Voter(name) | Self::Observer(name) | Self::Remove(name) => name,
        }
    }
}
