use super::*;

/// An operator's configuration change. It replaces the whole current configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Request id chosen by the operator; a resend carries the same id.
    pub request: Name,
    /// Operator who sent the request.
    pub author: Name,
    /// Revision that the change is based on; the change is refused if it is no longer current.
    pub base: Revision,
    /// The new configuration.
    pub config: Config,
}
