use super::*;

/// A team whose jobs share a quota.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Most that the jobs of the team may hold at once.
    pub quota: Resources,
}
