//! Organisations, to which jobs belong and which share the fleet.

use super::*;

/// An organisation as configured by operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Digests of the keys of its callers.
    pub keys: BTreeSet<KeyDigest>,
    /// Its share when all is full, and its agreed rate in jobs per second.
    pub weight: u32,
    /// Priority among organisations with the same share; lower values go first.
    pub priority: u8,
    /// What it may have at work in all pools together; 0 is no limit.
    pub limit: Resources,
}

impl Organisation {
    /// Whether `size` exceeds the limit even if nothing else is at work.
    pub fn exceeds_limit(&self, size: Resources) -> bool {
        let exceeds = |size: u64, limit: u64| limit > 0 && size > limit;
        exceeds(size.millicores, self.limit.millicores)
            || exceeds(size.memory_mb, self.limit.memory_mb)
            || exceeds(size.accelerators, self.limit.accelerators)
    }

    /// Index of the first group with a task, or a gang, that exceeds the limit by itself.
    pub fn group_over_limit(&self, spec: &Spec) -> Option<usize> {
        spec.groups.iter().position(|group| self.exceeds_limit(group.smallest_start()))
    }
}
