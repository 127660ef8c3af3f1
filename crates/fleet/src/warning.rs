use super::*;

/// A likely mistake in an accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Warning {
    /// The pool selects no known instance.
    #[display("pool `{_0}` selects no instance")]
    EmptyPool(Name),
    /// The budget selects no known instance.
    #[display("budget `{_0}` selects no instance")]
    EmptyBudget(Name),
    /// The budget never allows a disruption.
    #[display("budget `{_0}` allows no disruption: its reserve takes up its whole limit")]
    ClosedBudget(Name),
    /// No pool selects the instance, so it gets no new requests.
    #[display("instance `{_0}` matches no pool and gets no new work")]
    Unplaced(Name),
}
