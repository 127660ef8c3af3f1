use super::*;

/// A member as the log knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its part in the agreement.
    pub role: Role,
    /// Disk on which it keeps its votes and entries, once it is known.
    pub disk: Option<DiskId>,
}
