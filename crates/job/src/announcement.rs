use super::*;

/// Periodic announcement of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The incarnation that sent it.
    pub incarnation: Incarnation,
    /// Machine that the instance runs on.
    pub machine: Name,
    /// Pool that the instance belongs to.
    pub pool: Name,
    /// Address for requests, `IP:PORT`.
    pub address: Name,
    /// Data centre of the instance.
    pub data_center: Name,
    /// Total resources.
    pub capacity: Resources,
    /// Labels: first the kind of the machine, then its rack.
    pub labels: Arc<[Name]>,
    /// Whether the instance accepts tasks.
    pub condition: Condition,
    /// Monotonic clock of the instance when it sent this.
    pub clock: InstanceMs,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
}

/// Whether an instance accepts tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// It accepts tasks.
    Ready,
    /// It accepts no new tasks, and ends after those that it has.
    Draining,
    /// It has ended.
    Gone,
}

impl Announcement {
    /// Rack of the machine, if known.
    pub fn rack(&self) -> Option<&Name> {
        self.labels.get(1)
    }

    /// Whether `later` says the same as this, at a later time.
    pub(crate) fn is_repeated_by(&self, later: &Self) -> bool {
        let Self { clock, sequence, .. } = *self;
        Self { clock, sequence, ..later.clone() } == *self
    }

    /// Whether this is newer than `other`, an announcement of the same instance.
    pub fn supersedes(&self, other: &Self) -> bool {
        let key = |a: &Self| (a.incarnation.born, a.sequence, a.condition == Condition::Gone);
        key(self) > key(other)
    }
}
