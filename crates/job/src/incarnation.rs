use super::*;

/// One run of an instance, from start to end. An instance may keep its name across restarts; the
/// start time tells its incarnations apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{name}/{born}")]
pub struct Incarnation {
    /// Name of the instance.
    pub name: Name,
    /// When this incarnation started.
    pub born: UnixMs,
}
