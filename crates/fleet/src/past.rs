use super::*;

/// A configuration that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// Its number.
    pub revision: Revision,
    /// Who made it.
    pub author: Name,
    /// Request that made it.
    pub request: Name,
    /// Fleet time at which it was accepted.
    pub at: Time,
    /// The configuration.
    pub config: Arc<Config>,
}
