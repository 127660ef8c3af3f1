use super::*;

/// An accepted configuration in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// Revision number.
    pub revision: Revision,
    /// Operator who applied it.
    pub author: Name,
    /// Request that applied it.
    pub request: Name,
    /// Fleet time at which it was accepted.
    pub at: Time,
    /// The configuration.
    pub config: Arc<Config>,
}
