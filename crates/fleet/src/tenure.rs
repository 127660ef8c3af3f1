use super::*;

/// Membership of an instance in one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// Pool that the instance serves.
    pub pool: Name,
    /// Pool that selects the instance; another than `pool` while it is lent.
    pub home: Name,
    /// Epoch in which it started.
    pub epoch: Epoch,
}

impl Tenure {
    /// Whether the instance is lent.
    pub fn is_lent(&self) -> bool {
        self.pool != self.home
    }
}
