/// A mechanism of the scheduler that can be switched off in the settings, to measure what it is
/// worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Jobs that can still meet their objective go first, the most urgent one before the others;
    /// without it, jobs go in the order in which they came.
    ObjectiveFirst,
    /// Jobs that have begun go before those that have not.
    BegunFirst,
    /// Organisations with a low share of the capacity, by their weight, go before others; without it,
    /// only the urgency of their jobs counts.
    FairShares,
    /// While a pool is overloaded, late jobs wait.
    LateAside,
    /// Run times are estimated from the tasks that have ended; without it, as the caller declares.
    LearnedDurations,
    /// Long-lived tasks are packed on few instances, and others on the fullest instance that fits;
    /// without it, tasks go to the emptiest one.
    Packing,
    /// Instances on which tasks of several jobs failed in a row are avoided for some time.
    Avoidance,
    /// A pool with continuous tasks keeps one instance more than they need.
    SpareInstance,
    /// A pool gets machines for the rate at which work arrives.
    ArrivalRate,
    /// Idle machines that no pool needs go to the spare pool.
    Parking,
    /// Busy machines that their pool does not need for work in time go to a pool that lacks capacity
    /// once their tasks have ended.
    Lending,
    /// Late tasks that save checkpoints are stopped on machines that go to another pool.
    Preemption,
}

impl Mechanism {
    /// Every mechanism.
    pub const ALL: [Self; 12] = [
        Self::ObjectiveFirst,
        Self::BegunFirst,
        Self::FairShares,
        Self::LateAside,
        Self::LearnedDurations,
        Self::Packing,
        Self::Avoidance,
        Self::SpareInstance,
        Self::ArrivalRate,
        Self::Parking,
        Self::Lending,
        Self::Preemption,
    ];

    /// Its name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::ObjectiveFirst => "objective-first",
            Self::BegunFirst => "begun-first",
            Self::FairShares => "fair-shares",
            Self::LateAside => "late-aside",
            Self::LearnedDurations => "learned-durations",
            Self::Packing => "packing",
            Self::Avoidance => "avoidance",
            Self::SpareInstance => "spare-instance",
            Self::ArrivalRate => "arrival-rate",
            Self::Parking => "parking",
            Self::Lending => "lending",
            Self::Preemption => "preemption",
        }
    }
}
