use super::*;

/// An instance that more than one pool selects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overlap {
    /// Name of the instance.
    pub instance: Name,
    /// Pools that select it.
    pub pools: Vec<Name>,
}

impl std::fmt::Display for Overlap {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "instance `{}` would be in pools `{}`", self.instance, self.pools.join("`, `"))
    }
}
