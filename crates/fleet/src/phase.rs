use super::*;

/// How far a grant is.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The instance gets no new work and finishes what it has.
    #[display("draining")]
    Draining,
    /// The instance is idle and is to be rebooted.
    #[display("rebooting")]
    Rebooting {
        /// Start of the instance before the reboot.
        incarnation: u64,
        /// Whether the platform has accepted the reboot.
        accepted: bool,
    },
    /// The instance is back and proves itself.
    #[display("returned")]
    Returned,
    /// The instance serves another pool.
    #[display("lent")]
    Lent,
    /// The instance finishes its work for another pool.
    #[display("returning")]
    Returning,
}

impl Phase {
    /// Whether the instance gets new work.
    pub fn is_serving(&self) -> bool {
        matches!(self, Self::Returned | Self::Lent)
    }

    /// Whether the instance finishes its work in flight.
    pub fn is_draining(&self) -> bool {
        matches!(self, Self::Draining | Self::Returning)
    }
}
