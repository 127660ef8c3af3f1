use super::*;

/// A membership change that concerns a single member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Promotes an observer to voter, with the disk that it reports now.
    Voter(Name),
    /// Demotes a voter to observer, or adds a new member as observer.
    Observer(Name),
    /// Removes a member.
    Remove(Name),
}

impl Change {
    /// The member to which the change applies.
    pub fn name(&self) -> &Name {
        match self {
            Self::Voter(name) | Self::Observer(name) | Self::Remove(name) => name,
        }
    }
}
