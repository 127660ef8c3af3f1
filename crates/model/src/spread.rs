use super::*;

/// How jobs that belong together spread over racks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// Name that the jobs share.
    pub group: Name,
    /// Most jobs of the group in one rack.
    pub per_rack: u32,
}
