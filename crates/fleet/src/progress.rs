use super::*;

/// How far a wave is with one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Its turn has not come.
    #[display("waiting")]
    Waiting,
    /// It is under a grant.
    #[display("granted")]
    Granted,
    /// It is maintained and back.
    #[display("done")]
    Done,
    /// It did not come back, or was lost right after.
    #[display("failed")]
    Failed,
    /// It would not drain, left the fleet, or the wave was cancelled.
    #[display("skipped")]
    Skipped,
}

impl Progress {
    /// Whether nothing more happens to it.
    pub fn ended(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Skipped)
    }
}
