use super::*;

/// A pool of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Instances that belong to the pool.
    pub selector: Selector,
    /// Whether its instances may be lent to pools in need.
    pub spare: bool,
    /// Service that instances lent to the pool answer.
    pub service: Option<Name>,
}
