use super::*;

/// A service that callers may call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Requests that may wait for a slot.
    pub queue: u32,
}
