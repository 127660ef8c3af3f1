use super::*;

/// What a wave waits for.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Wait {
    /// The first instances are not back.
    #[display("waits for its canary `{_0}`")]
    Canary(Name),
    /// A budget does not allow the next instance.
    #[display("waits with `{instance}`: {shortage}")]
    Budget {
        /// Next instance.
        instance: Name,
        /// The refusal.
        shortage: Shortage,
    },
    /// Only instances that are down are left.
    #[display("waits for `{_0}`, which is down")]
    Down(Name),
    /// Only instances under a grant are left.
    #[display("waits for `{_0}`, which is under a grant")]
    Granted(Name),
}

impl Wait {
    /// Whether both waits have the same cause, whatever their numbers.
    pub fn same_cause(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Budget { shortage: a, .. }, Self::Budget { shortage: b, .. }) => {
                a.budget == b.budget
            }
            _ => std::mem::discriminant(self) == std::mem::discriminant(other),
        }
    }
}
