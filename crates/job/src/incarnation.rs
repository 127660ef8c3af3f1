use super::*;

/// One run of an instance, from start to end. An instance may keep its name across restarts; the
/// start time tells its incarnations apart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("{name}/{born}")]
pub struct Incarnation {
    /// Name of the instance.
    pub name: Name,
    /// When this incarnation started.
    pub born: UnixMs,
}

/// Ordered by start time first, which nearly always differs and is compared without reading the
/// name.
impl Ord for Incarnation {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.born.cmp(&other.born).then_with(|| self.name.cmp(&other.name))
    }
}

impl PartialOrd for Incarnation {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
