use super::*;

/// How an incarnation of an instance is known to have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Departure {
    /// It reported its end itself.
    #[display("it has reported its end")]
    Reported,
    /// A later incarnation of the same name has announced itself.
    #[display("a later incarnation has announced itself")]
    Replaced,
    /// The platform lists another instance on its machine.
    #[display("the platform lists another instance on its machine")]
    OtherListed,
    /// The platform lists its machine as not in operation.
    #[display("the platform lists its machine as {_0:?}")]
    MachineListed(MachineState),
    /// All instances of its rack crashed at the same time.
    #[display("all instances of its rack crashed at once")]
    RackLost,
}

impl Departure {
    /// Whether an instance that ended so was taken away on purpose. `draining` tells whether it was
    /// to end anyway, by its own announcement or by an order about its machine.
    pub(crate) fn is_planned(self, draining: bool) -> bool {
        match self {
            Self::Reported => true,
            Self::MachineListed(MachineState::Moving | MachineState::Maintained) => true,
            Self::Replaced | Self::OtherListed | Self::MachineListed(_) | Self::RackLost => {
                draining
            }
        }
    }
}
