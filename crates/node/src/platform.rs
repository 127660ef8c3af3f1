//! What a daemon asks of the platform, and what it learns.

use super::*;

/// A call to the platform; the same id again changes nothing further.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Names the call, the same from every leader that makes it.
    pub id: Name,
    /// What is asked.
    pub action: Action,
}

/// What is asked of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Drain and reboot an instance.
    Reboot {
        /// The instance.
        instance: Name,
        /// Start of the instance that is meant; a later one must not be rebooted.
        incarnation: u64,
        /// Epoch that the grant was given in.
        epoch: fleet::Epoch,
    },
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The call.
    pub call: Call,
    /// Whether the platform has accepted it; otherwise it is repeated.
    pub accepted: bool,
}
