use super::*;

/// Membership of an instance in a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// Pool that the instance serves.
    pub pool: Name,
    /// Pool whose selector matched the instance. It differs from `pool` while the instance is lent.
    pub home: Name,
    /// Epoch in which the membership started.
    pub epoch: Epoch,
}

impl Tenure {
    /// Whether the instance serves another pool than its home pool.
    pub fn is_lent(&self) -> bool {
        self.pool != self.home
    }
}
