use super::*;

/// Clocks of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Time,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { started: boot_time() }
    }

    /// Time since the process started. Advances while the instance is suspended, so that leases
    /// expire then, too.
    pub(crate) fn now(self) -> Time {
        boot_time().saturating_sub(self.started)
    }

    /// Wall clock time in milliseconds since 1970.
    pub(crate) fn unix() -> job::UnixMs {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        now.map_or(0, |since| since.as_millis() as job::UnixMs)
    }
}

fn boot_time() -> Time {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
