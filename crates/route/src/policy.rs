use super::*;

/// How slots of upstreams are assigned to requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Each daemon grants an even share of every upstream's slots.
    #[display("even-split")]
    EvenSplit,
    /// Each request goes to the less loaded of two random upstreams, by the number of requests
    /// that this daemon has in flight there. A full upstream refuses.
    #[display("two-choices")]
    TwoChoices,
    /// Each request goes to the upstream with the fewest requests in flight from this daemon. A
    /// full upstream refuses.
    #[display("least-loaded")]
    LeastLoaded,
    /// One daemon for each service, its broker, grants all slots of the service.
    #[default]
    #[display("broker")]
    Broker,
}

impl Policy {
    /// Whether daemons may together send an upstream more requests than it has slots, so that a
    /// healthy upstream may refuse.
    pub(crate) fn overcommits(self) -> bool {
        matches!(self, Self::TwoChoices | Self::LeastLoaded)
    }
}
