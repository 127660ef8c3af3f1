use super::*;

/// What came of the requests of one run.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Tally {
    pub(crate) policy: String,
    pub(crate) seed: u64,
    pub(crate) delay_us: u64,
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    /// Worth of what was answered in time.
    pub(crate) worth: u64,
    /// Worth of everything that was asked.
    pub(crate) asked: u64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    /// Share of the slots in use, over the run.
    pub(crate) slots_in_use: f64,
    /// Requests that an upstream refused because it was full.
    pub(crate) overfull: u64,
    #[serde(skip)]
    pub(crate) latency: Histogram<u64>,
}

impl Tally {
    pub(crate) fn new(policy: &str, seed: u64, delay: Duration) -> eyre::Result<Self> {
        Ok(Self {
            policy: policy.to_owned(),
            seed,
            delay_us: delay.as_micros() as u64,
            requests: 0,
            answered: 0,
            refused: 0,
            unknown: 0,
            worth: 0,
            asked: 0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            p999_ms: 0.0,
            slots_in_use: 0.0,
            overfull: 0,
            latency: Histogram::new(3)?,
        })
    }

    pub(crate) fn answer(&mut self, outcome: &route::Outcome, weight: u32, took: Duration) {
        match outcome {
            route::Outcome::NotRun { .. } => self.refused += 1,
            route::Outcome::Unknown(_) => self.unknown += 1,
            _ => {
                self.answered += 1;
                self.worth += u64::from(weight);
                self.latency.record(took.as_micros() as u64).ok();
            }
        }
    }

    pub(crate) fn finish(&mut self) {
        let at = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1000.0;
        (self.p50_ms, self.p99_ms, self.p999_ms) = (at(0.5), at(0.99), at(0.999));
    }
}
