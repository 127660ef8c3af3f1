use super::*;

/// Limits machine orders to the rate that the platform accepts from the whole fleet. It refuses those
/// beyond, and a machine whose order was refused is left alone for a while, which costs a burst more
/// than the wait for the next pass.
#[derive(Debug, Default)]
pub(crate) struct OrderBudget {
    available: f64,
    updated: Time,
}

impl OrderBudget {
    /// Orders that were not used are kept for this long.
    const BURST: Duration = Duration::from_millis(250);

    /// Takes up to `wanted` orders, and returns how many may be sent now.
    pub(crate) fn take(&mut self, now: Time, per_second: u32, wanted: usize) -> usize {
        let per_second = f64::from(per_second);
        let earned = now.saturating_sub(self.updated).as_secs_f64() * per_second;
        self.updated = now;
        self.available = (self.available + earned).min(per_second * Self::BURST.as_secs_f64());
        let taken = wanted.min(self.available as usize);
        self.available -= taken as f64;
        taken
    }
}
