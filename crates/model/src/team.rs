use super::*;

/// Team whose jobs share a quota.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Maximum of the resources reserved for the team's jobs at the same time.
    pub quota: Resources,
}
