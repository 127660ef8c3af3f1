use super::*;

/// Pool of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Instances that belong to the pool.
    pub selector: Selector,
    /// Whether its instances may be lent to pools that need capacity.
    pub spare: bool,
    /// Service that instances lent to this pool serve, if it is not their own.
    pub service: Option<Name>,
}
