use super::*;

/// State of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It gives grants.
    #[display("running")]
    Running,
    /// An operator holds it back.
    #[display("paused")]
    Paused,
    /// Too many instances failed to return.
    #[display("stopped")]
    Stopped,
    /// An operator ended it.
    #[display("cancelled")]
    Cancelled,
    /// Nothing is left to do.
    #[display("finished")]
    Finished,
}

impl Standing {
    /// Whether it can never give a grant again.
    pub fn ended(self) -> bool {
        matches!(self, Self::Cancelled | Self::Finished)
    }
}
