use super::*;

/// A round of the founding of a fleet, held by one daemon; the higher one prevails.
#[derive(
    Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display("{round} of {}", holder.0)]
pub struct Ballot {
    /// Number of the round; 0 before the first.
    pub round: u64,
    /// Daemon that holds it. In the same round the lower address prevails.
    pub holder: Reverse<Name>,
}
