use super::*;

/// Mean and 95th percentile of recent run times, from a histogram with logarithmic buckets. When
/// the histogram is full, all counts are halved, so that recent samples weigh more.
#[derive(Debug, Clone)]
pub(crate) struct Estimate {
    counts: [u16; Self::BUCKETS],
    /// Number of samples in the histogram.
    total: u32,
    sum_us: u64,
    /// Samples added since `mean` and `quantile` were calculated.
    since_refresh: u32,
    mean: Duration,
    quantile: Duration,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            counts: [0; Self::BUCKETS],
            total: 0,
            sum_us: 0,
            since_refresh: 0,
            mean: Duration::ZERO,
            quantile: Duration::ZERO,
        }
    }
}

impl Estimate {
    const BUCKETS: usize = 128;
    /// Buckets for each power of two. Must be 4, since [`Self::bucket`] and [`upper_bound`] use two
    /// bits for the position within a power of two.
    const BUCKETS_PER_DOUBLING: u64 = 4;
    /// Samples at which the counts are halved.
    const MAX_SAMPLES: u32 = 1024;
    /// Number of samples after which mean and quantile are recalculated.
    const REFRESH_INTERVAL: u32 = 16;
    /// Percentage of requests that run no longer than the quantile.
    const QUANTILE_PERCENT: u32 = 95;

    /// Adds the run time of a request.
    pub(crate) fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX).min(1 << 31);
        self.counts[Self::bucket(micros)] += 1;
        self.total += 1;
        self.sum_us += micros;
        self.since_refresh += 1;
        if self.total >= Self::MAX_SAMPLES {
            self.halve();
        }
        if self.since_refresh >= Self::REFRESH_INTERVAL || self.total < Self::REFRESH_INTERVAL {
            self.refresh();
        }
    }

    pub(crate) fn mean(&self) -> Duration {
        self.mean
    }

    /// Time within which 95% of the requests end, rounded up to the end of a bucket.
    pub(crate) fn quantile(&self) -> Duration {
        self.quantile
    }

    /// Index of the bucket that holds `number`.
    pub(crate) fn bucket(number: u64) -> usize {
        if number < Self::BUCKETS_PER_DOUBLING {
            return number as usize;
        }
        let doubling = u64::from(63 - number.leading_zeros());
        let step = (number >> (doubling - 2)) & (Self::BUCKETS_PER_DOUBLING - 1);
        (((doubling - 1) * Self::BUCKETS_PER_DOUBLING + step) as usize).min(Self::BUCKETS - 1)
    }

    fn halve(&mut self) {
        let before = u64::from(self.total);
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
        self.sum_us = self.sum_us * u64::from(self.total) / before;
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        self.mean = Duration::from_micros(self.sum_us / u64::from(self.total.max(1)));
        let wanted = (self.total * Self::QUANTILE_PERCENT).div_ceil(100);
        let mut seen = 0;
        let found = self.counts.iter().position(|count| {
            seen += u32::from(*count);
            seen >= wanted
        });
        self.quantile = Duration::from_micros(upper_bound(found.unwrap_or_default() as u64));
    }
}

/// Upper end of a bucket, in microseconds.
fn upper_bound(bucket: u64) -> u64 {
    if bucket < Estimate::BUCKETS_PER_DOUBLING {
        return bucket;
    }
    let (doubling, step) =
        (bucket / Estimate::BUCKETS_PER_DOUBLING + 1, bucket % Estimate::BUCKETS_PER_DOUBLING);
    (Estimate::BUCKETS_PER_DOUBLING + step + 1) << (doubling - 2)
}
