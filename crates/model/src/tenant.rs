use super::*;

/// A tenant whose requests compete with those of others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Share against other tenants when slots are short.
    pub weight: u32,
}
