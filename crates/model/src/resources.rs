use super::*;

/// Amounts of the resources that workers provide and jobs use.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Add,
    AddAssign,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{millicores}m processors, {memory_mb} MB, {accelerators} accelerators")]
pub struct Resources {
    /// Processor time, in thousandths of a processor.
    pub millicores: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators, which are never shared between jobs.
    pub accelerators: u64,
}

impl Resources {
    /// Whether each amount is at most that in `room`.
    pub fn fits(self, room: Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// Subtracts each amount in `other`, stopping at zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Number of times that `part` fits into these amounts.
    pub fn capacity_for(self, part: Self) -> u64 {
        let times = |whole: u64, part: u64| whole.checked_div(part).unwrap_or(u64::MAX);
        times(self.millicores, part.millicores)
            .min(times(self.memory_mb, part.memory_mb))
            .min(times(self.accelerators, part.accelerators))
    }

    /// The greater of each amount.
    pub fn max(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The lesser of each amount.
    pub fn min(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}
