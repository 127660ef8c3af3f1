use super::*;

/// Purpose of a disruption.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// A reboot as part of this wave.
    #[display("maintenance in wave `{_0}`")]
    Maintenance(Name),
    /// A move to the pool whose selector matches the instance now.
    #[display("a move to another pool")]
    Move,
    /// A loan from a spare pool to this pool.
    #[display("a loan to pool `{_0}`")]
    Loan(Name),
}
