use super::*;

/// How requests find a slot of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Each daemon has an even share of every upstream's slots.
    #[display("even-split")]
    EvenSplit,
    /// The better of two random upstreams, which refuses where it is full.
    #[display("two-choices")]
    TwoChoices,
    /// The upstream with the least that this daemon has in flight, which refuses where it is full.
    #[display("least-loaded")]
    LeastLoaded,
    /// One daemon for each service grants all its slots.
    #[default]
    #[display("broker")]
    Broker,
}

impl Policy {
    /// Whether an upstream that works well may refuse for want of a slot.
    pub(crate) fn overcommits(self) -> bool {
        matches!(self, Self::TwoChoices | Self::LeastLoaded)
    }
}
