use super::*;

/// Count, quantiles and maximum of a distribution.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Quantiles {
    count: u64,
    p50: u64,
    p99: u64,
    p999: u64,
    max: u64,
}

impl Quantiles {
    pub(crate) fn of(histogram: &hdrhistogram::Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p99: histogram.value_at_quantile(0.99),
            p999: histogram.value_at_quantile(0.999),
            max: histogram.max(),
        }
    }
}
