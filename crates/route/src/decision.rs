use super::*;

/// Result of a committed command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// A claim was granted or refused.
    Claim(ClaimDecision),
    /// The roster has changed.
    Roster(Arc<Roster>),
}
