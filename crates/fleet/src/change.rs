use super::*;

/// An operator's change: a whole configuration in place of the present one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id that the operator gave the request; a resend carries the same.
    pub request: Name,
    /// Who asks.
    pub author: Name,
    /// Revision that the operator saw.
    pub base: Revision,
    /// Configuration wanted.
    pub config: Config,
}
