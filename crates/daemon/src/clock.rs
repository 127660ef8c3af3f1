use super::*;

/// Monotonic clock of the process, which starts at zero.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now(self) -> Time {
        self.0.elapsed()
    }
}
