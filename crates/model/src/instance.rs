use super::*;

/// Configuration of a single instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Labels that override those the instance announces.
    pub labels: Labels,
}
