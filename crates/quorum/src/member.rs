use super::*;

/// A member, as recorded in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Voter or observer.
    pub role: Role,
    /// Disk that holds a voter's votes and entries; `None` for observers, and for all members
    /// before the cluster is bootstrapped.
    pub disk: Option<DiskId>,
}
