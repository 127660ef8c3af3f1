use super::*;

/// Something in an accepted configuration that an operator may not have meant.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Warning {
    /// Pool that no known instance matches.
    #[display("pool `{_0}` selects no instance")]
    EmptyPool(Name),
    /// Budget that no known instance matches.
    #[display("budget `{_0}` selects no instance")]
    EmptyBudget(Name),
    /// Budget that never allows a disruption.
    #[display("budget `{_0}` allows no disruption: its reserve takes all that it allows")]
    ClosedBudget(Name),
    /// Instance that no pool selects; it gets no new work.
    #[display("instance `{_0}` matches no pool and gets no new work")]
    Unplaced(Name),
}
