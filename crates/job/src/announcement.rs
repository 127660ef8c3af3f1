use super::*;

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Which life of which instance.
    pub incarnation: Incarnation,
    /// Machine that it runs on.
    pub machine: Name,
    /// Pool that it belongs to.
    pub pool: Name,
    /// Where it takes orders, `IP:PORT`.
    pub address: Name,
    /// Data centre.
    pub data_center: Name,
    /// What it has.
    pub capacity: Resources,
    /// Kind, then rack.
    pub labels: Vec<Name>,
    /// Whether it takes work.
    pub condition: Condition,
    /// Its steady clock when it sent this.
    pub clock: ClockMs,
    /// Grows with each announcement of one life.
    pub sequence: u64,
}

/// Whether an instance takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// It does.
    Ready,
    /// It finishes what it has, and ends.
    Draining,
    /// It has ended.
    Gone,
}

impl Announcement {
    /// Rack of the machine, where it is known.
    pub fn rack(&self) -> Option<&Name> {
        self.labels.get(1)
    }

    /// Whether this says something newer than `other`, which is of the same instance.
    pub fn supersedes(&self, other: &Self) -> bool {
        let key = |a: &Self| (a.incarnation.born, a.sequence, a.condition == Condition::Gone);
        key(self) > key(other)
    }
}
