use super::*;

/// Service that callers may call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum number of requests that wait for a slot.
    pub queue: u32,
}
