use super::*;

/// Mean and quantile of recent run times, from a histogram with geometric buckets; half of every
/// count is forgotten whenever the histogram is full.
#[derive(Debug, Clone)]
pub(crate) struct Estimate {
    counts: [u16; Self::BUCKETS],
    total: u32,
    sum_us: u64,
    fresh: u32,
    mean: Duration,
    quantile: Duration,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            counts: [0; Self::BUCKETS],
            total: 0,
            sum_us: 0,
            fresh: 0,
            mean: Duration::ZERO,
            quantile: Duration::ZERO,
        }
    }
}

impl Estimate {
    const BUCKETS: usize = 128;
    /// Buckets for each doubling.
    const STEPS: u64 = 4;
    /// Samples that fill the histogram.
    const FULL: u32 = 1024;
    /// Samples between two calculations.
    const REFRESH: u32 = 16;
    /// Share of requests that run no longer than the quantile, in percent.
    const QUANTILE_PERCENT: u32 = 95;

    pub(crate) fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX).min(1 << 31);
        self.counts[Self::bucket(micros)] += 1;
        self.total += 1;
        self.sum_us += micros;
        self.fresh += 1;
        if self.total >= Self::FULL {
            self.halve();
        }
        if self.fresh >= Self::REFRESH || self.total < Self::REFRESH {
            self.refresh();
        }
    }

    pub(crate) fn mean(&self) -> Duration {
        self.mean
    }

    /// Time within which most requests end.
    pub(crate) fn quantile(&self) -> Duration {
        self.quantile
    }

    /// Bucket of a number; four for each doubling.
    pub(crate) fn bucket(number: u64) -> usize {
        if number < Self::STEPS {
            return number as usize;
        }
        let doubling = u64::from(63 - number.leading_zeros());
        let step = (number >> (doubling - 2)) & (Self::STEPS - 1);
        (((doubling - 1) * Self::STEPS + step) as usize).min(Self::BUCKETS - 1)
    }

    fn halve(&mut self) {
        let before = u64::from(self.total);
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
        self.sum_us = self.sum_us * u64::from(self.total) / before;
    }

    fn refresh(&mut self) {
        self.fresh = 0;
        self.mean = Duration::from_micros(self.sum_us / u64::from(self.total.max(1)));
        let wanted = (self.total * Self::QUANTILE_PERCENT).div_ceil(100);
        let mut seen = 0;
        let found = self.counts.iter().position(|count| {
            seen += u32::from(*count);
            seen >= wanted
        });
        self.quantile = Duration::from_micros(ceiling(found.unwrap_or_default() as u64));
    }
}

/// Upper end of a bucket, in microseconds.
fn ceiling(bucket: u64) -> u64 {
    if bucket < Estimate::STEPS {
        return bucket;
    }
    let (doubling, step) = (bucket / Estimate::STEPS + 1, bucket % Estimate::STEPS);
    (Estimate::STEPS + step + 1) << (doubling - 2)
}
