use super::*;

/// Permission to disrupt an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// What for.
    pub purpose: Purpose,
    /// How far it is.
    pub phase: Phase,
    /// Fleet time at which it was given.
    pub since: Time,
    /// Fleet time at which its phase ends by itself.
    pub until: Option<Time>,
}
