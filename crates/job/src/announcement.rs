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
    /// Least time until a draining instance ends, if it says so.
    pub remaining: Option<Duration>,
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
    /// It has reported that it ends, and may work until it has.
    Gone,
}

impl Announcement {
    /// Rack of the machine, if known.
    pub fn rack(&self) -> Option<&Name> {
        self.labels.get(1)
    }

    /// Whether `later` says the same as this, at a later time.
    pub(crate) fn is_repeated_by(&self, later: &Self) -> bool {
        let Self { clock, sequence, remaining, .. } = *self;
        Self { clock, sequence, remaining, ..later.clone() } == *self
    }

    /// Whether this is newer than `other`, an announcement of the same instance. Nothing that an
    /// incarnation said before the report of its end, and that arrives later, supersedes the report.
    pub fn supersedes(&self, other: &Self) -> bool {
        let key = |a: &Self| (a.incarnation.born, a.condition == Condition::Gone, a.sequence);
        key(self) > key(other)
    }

    /// Whether the instance has reported its end.
    pub(crate) fn is_departure(&self) -> bool {
        self.condition == Condition::Gone
    }
}
