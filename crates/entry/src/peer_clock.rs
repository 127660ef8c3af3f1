//! Clocks of other daemons. A call that is forwarded carries its deadline on the clock of the
//! receiver, so that a receiver that is late does not carry out a call that its sender has given up.

use super::*;

/// Reading of the clock of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Reading {
    /// Random number of the process: its clock starts at zero with the process.
    pub(crate) boot: u64,
    pub(crate) at: Time,
}

/// Relation of the clocks of other daemons to that of this one.
#[derive(Debug, Default)]
pub(crate) struct PeerClocks {
    clocks: BTreeMap<Name, Estimate>,
}

/// The reading of a clock with the shortest known delay.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    reading: Reading,
    received: Time,
}

impl Estimate {
    /// What the clock shows at the local time `local`. It may show more, by the delay of the
    /// reading.
    fn at(&self, local: Time) -> Time {
        self.reading.at.saturating_add(local).saturating_sub(self.received)
    }
}

impl PeerClocks {
    pub(crate) fn record(&mut self, now: Time, peer: &Name, reading: Reading) {
        let estimate = Estimate { reading, received: now };
        let known = self.clocks.get(peer).filter(|known| known.reading.boot == reading.boot);
        if known.is_none_or(|known| estimate.at(now) >= known.at(now)) {
            self.clocks.insert(peer.clone(), estimate);
        }
    }

    /// The local time `local` on the clock of `peer`; never later than it is.
    pub(crate) fn translate(&self, peer: &Name, local: Time) -> Option<Reading> {
        let estimate = self.clocks.get(peer)?;
        Some(Reading { boot: estimate.reading.boot, at: estimate.at(local) })
    }
}
