use super::*;

/// Why a job missed its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// No daemon led.
    #[display("no leader")]
    NoLeader,
    /// The leader was not allowed to order instances yet.
    #[display("leader may not order instances")]
    NoOrders,
    /// It waited for an instance on its way to the pool.
    #[display("waited for a moving instance")]
    Moving,
    /// Late work held the instances.
    #[display("instances held by late work")]
    LateWork,
    /// A few tasks held instances that had room, but not enough or in another pool.
    #[display("instances held by few tasks")]
    FewTasks,
    /// Work that could be in time held all instances.
    #[display("instances held by work in time")]
    InTimeWork,
    /// Its organisation exceeded its limit or share.
    #[display("limit or share of organisation")]
    Organisation,
    /// The platform permitted no instance that had room.
    #[display("admission")]
    Admission,
    /// Attempts failed or were lost.
    #[display("attempt failed or lost")]
    Attempt,
    /// Its tasks ran longer than declared.
    #[display("declared time too short")]
    Declared,
    /// The log does not tell.
    #[display("unknown")]
    Unknown,
}

impl Cause {
    /// Every cause.
    pub const ALL: [Self; 11] = [
        Self::NoLeader,
        Self::NoOrders,
        Self::Moving,
        Self::LateWork,
        Self::FewTasks,
        Self::InTimeWork,
        Self::Organisation,
        Self::Admission,
        Self::Attempt,
        Self::Declared,
        Self::Unknown,
    ];

    /// The cause of a wait that `job-summary` lists under this name.
    pub(crate) fn of_wait(name: &str) -> Option<Self> {
        Some(match name {
            "wait-no-orders" => Self::NoOrders,
            "wait-moving" => Self::Moving,
            "wait-late" => Self::LateWork,
            "wait-few" => Self::FewTasks,
            "wait-capacity" => Self::InTimeWork,
            "wait-organisation" => Self::Organisation,
            "wait-admission" => Self::Admission,
            "wait-placement" => Self::Unknown,
            _ => return None,
        })
    }
}

/// Milliseconds, or numbers of jobs, by cause; only those that are not 0.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct ByCause(BTreeMap<Cause, u64>);

impl ByCause {
    /// Adds to a cause.
    pub fn add(&mut self, cause: Cause, amount: u64) {
        if amount > 0 {
            let total = self.0.entry(cause).or_default();
            *total = total.saturating_add(amount);
        }
    }

    /// Adds all amounts of another value.
    pub fn add_all(&mut self, other: &Self) {
        other.0.iter().for_each(|(cause, amount)| self.add(*cause, *amount));
    }

    /// Amount of a cause.
    pub fn get(&self, cause: Cause) -> u64 {
        self.0.get(&cause).copied().unwrap_or_default()
    }

    /// Sum over all causes.
    pub fn sum(&self) -> u64 {
        self.0.values().fold(0, |sum, amount| sum.saturating_add(*amount))
    }

    /// The cause with the largest amount; the first one of [`Cause::ALL`] if several have it.
    pub fn largest(&self) -> Option<Cause> {
        let by_amount = |(cause, amount): &(&Cause, &u64)| (**amount, std::cmp::Reverse(**cause));
        self.0.iter().max_by_key(by_amount).map(|(cause, _)| *cause)
    }

    /// Splits `whole` in proportion to the amounts; the largest gets what rounding leaves.
    pub(crate) fn split(&self, whole: u64) -> Self {
        let sum = u128::from(self.sum());
        let mut parts = Self::default();
        let Some(largest) = self.largest() else {
            parts.add(Cause::Unknown, whole);
            return parts;
        };
        for (cause, amount) in &self.0 {
            parts.add(*cause, (u128::from(*amount) * u128::from(whole) / sum) as u64);
        }
        parts.add(largest, whole.saturating_sub(parts.sum()));
        parts
    }
}
