use super::*;

/// A `pool` line, in millicores unless noted.
#[derive(Debug, Clone)]
pub(crate) struct PoolBalance {
    pub(crate) at: UnixMs,
    pub(crate) pool: String,
    /// Of usable instances and of machines on their way to the pool.
    capacity: u64,
    /// Of usable instances.
    ready: u64,
    /// Number of usable instances.
    instances: u64,
    /// Reserved by work in time, including continuous tasks.
    used: u64,
    late: u64,
    continuous: u64,
    /// What tasks waited for, in thousandths.
    pub(crate) waits: ByCause,
}

/// Fields of `pool`.
const POOL_FIELDS: [&str; 9] =
    ["capacity", "used", "late", "backlog", "arriving", "idle", "ready", "continuous", "instances"];

impl PoolBalance {
    /// Parses a line; `None` if it has no number of instances. Unknown fields are counted.
    pub(crate) fn parse(line: &Line, unknown_fields: &mut u64) -> Option<Self> {
        let fields = Fields::parse(&line.why);
        let mut waits = ByCause::default();
        for name in fields.names() {
            match Cause::of_wait(name) {
                Some(cause) => waits.add(cause, fields.number_or_zero(name)),
                None => *unknown_fields += u64::from(!POOL_FIELDS.contains(&name)),
            }
        }
        if !fields.has("instances") {
            return None;
        }
        Some(Self {
            at: line.at_ms,
            pool: line.about.clone(),
            capacity: fields.number("capacity")?,
            ready: fields.number("ready")?,
            instances: fields.number("instances")?,
            used: fields.number("used")?,
            late: fields.number("late")?,
            continuous: fields.number("continuous")?,
            waits,
        })
    }

    /// Mean capacity of an instance; `None` if there is none.
    pub(crate) fn instance_size(&self) -> Option<u64> {
        self.ready.checked_div(self.instances).filter(|size| *size > 0)
    }

    /// Instance seconds over `ms` milliseconds, for instances of `size` millicores.
    pub(crate) fn instance_seconds(&self, ms: u64, size: u64) -> PoolUse {
        let seconds = |millicores: u64| millicores as f64 / size as f64 * ms as f64 / 1000.0;
        PoolUse {
            in_time: seconds(self.used.saturating_sub(self.continuous)),
            late: seconds(self.late),
            continuous: seconds(self.continuous),
            idle: seconds(self.ready.saturating_sub(self.used.saturating_add(self.late))),
            moving: seconds(self.capacity.saturating_sub(self.ready)),
        }
    }
}
