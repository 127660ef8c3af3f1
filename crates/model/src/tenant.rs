use super::*;

/// Tenant whose requests compete with those of other tenants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Share of the slots relative to other tenants when slots are short.
    pub weight: u32,
}
