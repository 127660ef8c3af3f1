//! Calls to the platform and their results.

use super::*;

/// A call to the platform, which must treat repetitions with the same id as one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Id of the call; every leader that makes it uses the same.
    pub id: Name,
    /// The action requested.
    pub action: Action,
}

/// An action requested from the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Drain and reboot an instance.
    Reboot {
        /// The instance.
        instance: Name,
        /// Incarnation (start) of the instance to reboot; a later incarnation must not be rebooted.
        incarnation: u64,
        /// Epoch of the maintenance grant.
        epoch: fleet::Epoch,
    },
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The call.
    pub call: Call,
    /// Whether the platform accepted the call; if not, it is repeated.
    pub accepted: bool,
}
