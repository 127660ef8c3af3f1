use super::*;

/// Progress of a wave with one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// It has no grant yet.
    #[display("waiting")]
    Waiting,
    /// It has a grant.
    #[display("granted")]
    Granted,
    /// It is maintained and available again.
    #[display("done")]
    Done,
    /// It did not come back from its reboot in time, or departed during the soak time.
    #[display("failed")]
    Failed,
    /// It did not drain in time, was removed from the fleet, or the wave was cancelled.
    #[display("skipped")]
    Skipped,
}

impl Progress {
    /// Whether the wave has nothing more to do with the instance.
    pub fn ended(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Skipped)
    }
}
