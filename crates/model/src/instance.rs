use super::*;

/// What operators say of an instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Labels that win over those the instance announces.
    pub labels: Labels,
}
