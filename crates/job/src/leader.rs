use super::*;

/// A daemon that leads, in one run of its process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{name}")]
pub struct Leader {
    /// Name of the daemon.
    pub name: Name,
    /// Random number of the run.
    pub boot: u64,
}
