use super::*;

/// Why a wave waits.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Wait {
    /// The canary instances are not finished; this is one of them.
    #[display("waits for its canary `{_0}`")]
    Canary(Name),
    /// A budget does not allow a disruption of the next instance.
    #[display("waits with `{instance}`: {shortage}")]
    Budget {
        /// The next instance.
        instance: Name,
        /// The budget and its numbers.
        shortage: Shortage,
    },
    /// Only unavailable instances are left, this one among them.
    #[display("waits for `{_0}`, which is down")]
    Down(Name),
    /// Only instances under a grant are left, this one among them.
    #[display("waits for `{_0}`, which is under a grant")]
    Granted(Name),
}

impl Wait {
    /// Whether both have the same cause; for a budget, its numbers may differ.
    pub fn same_cause(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Budget { shortage: a, .. }, Self::Budget { shortage: b, .. }) => {
                a.budget == b.budget
            }
            _ => std::mem::discriminant(self) == std::mem::discriminant(other),
        }
    }
}
