use super::*;

/// One life of an instance. The name may come back after a restart; the start time tells the lives
/// apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{name}/{born}")]
pub struct Incarnation {
    /// Name of the instance.
    pub name: Name,
    /// When this life started.
    pub born: UnixMs,
}
