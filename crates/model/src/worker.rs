use super::*;

/// A worker as the platform describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// What it has.
    pub size: Resources,
    /// Labels it carries.
    #[serde(default)]
    pub labels: Labels,
    /// Where it stands.
    pub location: Location,
}
