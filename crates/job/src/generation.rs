use super::*;

/// The current incarnation of an instance, among those of its name that this leader has heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Generation {
    /// Start time of the incarnation.
    pub(crate) born: UnixMs,
    /// Number of earlier incarnations of the same name.
    number: u64,
}

impl Generation {
    /// Bits of a token that tell generations apart; the others are the epoch.
    const BITS: u32 = 24;
    const MAX_NUMBER: u64 = (1 << Self::BITS) - 1;

    /// The first incarnation of a name that this leader has heard of.
    pub(crate) fn first(born: UnixMs) -> Self {
        Self { born, number: 0 }
    }

    /// The incarnation that replaces this one.
    pub(crate) fn next(self, born: UnixMs) -> Self {
        Self { born, number: self.number + 1 }
    }

    /// Fencing token of calls to this incarnation. It exceeds those of calls to earlier incarnations of
    /// the name, and of earlier leaders. `None` if no higher token is left under this epoch.
    pub(crate) fn token(self, epoch: Epoch) -> Option<Token> {
        (self.number <= Self::MAX_NUMBER).then_some((epoch << Self::BITS) | self.number)
    }
}
