use super::*;

/// What an instance is disrupted for.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// A reboot in a wave.
    #[display("maintenance in wave `{_0}`")]
    Maintenance(Name),
    /// The move to the pool that selects the instance now.
    #[display("a move to another pool")]
    Move,
    /// A loan to a pool in need.
    #[display("a loan to pool `{_0}`")]
    Loan(Name),
}
