use super::*;

/// Instance seconds in pools, by what held the processors.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct PoolUse {
    /// Work that could still meet its objective.
    pub in_time: f64,
    /// Work that could not.
    pub late: f64,
    /// Continuous tasks.
    pub continuous: f64,
    /// Nothing.
    pub idle: f64,
    /// Instances on their way to the pool.
    pub moving: f64,
}

impl PoolUse {
    /// Names of the parts, in the order of [`Self::parts`].
    pub const PARTS: [&str; 5] = ["in time", "late", "continuous", "idle", "moving"];

    /// The parts.
    pub fn parts(&self) -> [f64; 5] {
        [self.in_time, self.late, self.continuous, self.idle, self.moving]
    }

    /// Sum of the parts.
    pub fn sum(&self) -> f64 {
        self.parts().iter().sum()
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.continuous += other.continuous;
        self.idle += other.idle;
        self.moving += other.moving;
    }
}

/// The second that a time is in, since 1970.
pub(crate) fn second_of(at: UnixMs) -> u64 {
    at / 1000
}
