use super::*;

/// Limits how many jobs of a group run in the same rack.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// Name of the group.
    pub group: Name,
    /// Maximum number of jobs of the group in one rack.
    pub per_rack: u32,
}
