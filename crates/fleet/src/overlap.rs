use super::*;

/// An instance that several pools select.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overlap {
    /// The instance.
    pub instance: Name,
    /// The pools.
    pub pools: Vec<Name>,
}

impl std::fmt::Display for Overlap {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "instance `{}` would be in pools `{}`", self.instance, self.pools.join("`, `"))
    }
}
