use super::*;

/// Status of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It gives grants.
    #[display("running")]
    Running,
    /// An operator paused it.
    #[display("paused")]
    Paused,
    /// Too many instances failed after their reboot; an operator can resume or cancel it.
    #[display("stopped")]
    Stopped,
    /// An operator cancelled it.
    #[display("cancelled")]
    Cancelled,
    /// Every instance is maintained, failed or skipped.
    #[display("finished")]
    Finished,
}

impl Standing {
    /// Whether the wave has ended for good.
    pub fn ended(self) -> bool {
        matches!(self, Self::Cancelled | Self::Finished)
    }
}
