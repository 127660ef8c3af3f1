use super::*;

/// Phase of a grant.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The instance gets no new requests and completes those in flight.
    #[display("draining")]
    Draining,
    /// The instance is idle and is being rebooted.
    #[display("rebooting")]
    Rebooting {
        /// Incarnation of the instance before the reboot.
        incarnation: u64,
        /// Whether the platform has accepted the reboot.
        accepted: bool,
    },
    /// The instance is back from its reboot and serves for the soak time.
    #[display("returned")]
    Returned,
    /// The instance serves the pool that borrows it.
    #[display("lent")]
    Lent,
    /// The instance gets no new requests and completes those of the pool that borrowed it.
    #[display("returning")]
    Returning,
}

impl Phase {
    /// Whether the instance gets new requests.
    pub fn is_serving(&self) -> bool {
        matches!(self, Self::Returned | Self::Lent)
    }

    /// Whether the instance completes its requests in flight before the next phase.
    pub fn is_draining(&self) -> bool {
        matches!(self, Self::Draining | Self::Returning)
    }
}
