use super::*;

/// Which mechanisms of the scheduler are on; all are by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Mechanisms {
    off: BTreeSet<Mechanism>,
}

impl Mechanisms {
    /// Whether a mechanism is on.
    pub fn is_on(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }

    /// Switches a mechanism on or off.
    pub fn set(&mut self, mechanism: Mechanism, on: bool) {
        if on {
            self.off.remove(&mechanism);
        } else {
            self.off.insert(mechanism);
        }
    }

    /// The mechanisms that are off.
    pub fn off(&self) -> impl Iterator<Item = Mechanism> {
        self.off.iter().copied()
    }
}
