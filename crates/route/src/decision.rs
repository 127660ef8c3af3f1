use super::*;

/// What follows from a committed command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// A claim was decided.
    Claim(ClaimDecision),
    /// Other daemons dispatch than before.
    Roster(Arc<Roster>),
}
