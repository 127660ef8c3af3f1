use super::*;

/// Result of one run of the dispatch experiment.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct DispatchFigures {
    pub(crate) policy: String,
    pub(crate) seed: u64,
    pub(crate) delay_us: u64,
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    /// Total weight of the requests that were answered in time.
    pub(crate) worth: u64,
    /// Total weight of all requests.
    pub(crate) asked: u64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    /// Mean share of slots in use.
    pub(crate) slots_in_use: f64,
    /// Attempts that an upstream refused because all its slots were in use.
    pub(crate) overfull: u64,
    #[serde(skip)]
    pub(crate) latency: Histogram<u64>,
}

impl DispatchFigures {
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

    /// Records the outcome of a request of the given weight.
    pub(crate) fn record_outcome(&mut self, outcome: &route::Outcome, weight: u32, took: Duration) {
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

    /// Computes the quantiles of the latency.
    pub(crate) fn finish(&mut self) {
        let at = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1000.0;
        (self.p50_ms, self.p99_ms, self.p999_ms) = (at(0.5), at(0.99), at(0.999));
    }
}
