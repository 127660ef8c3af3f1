use super::*;

/// Usage and run time observed for the recent jobs of one class.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    peaks: VecDeque<Resources>,
    run_times: VecDeque<Duration>,
    usage: Option<Resources>,
    run_time: Option<Duration>,
}

impl Class {
    /// Number of recent jobs that estimates are based on.
    const WINDOW: usize = 32;
    /// Percentile of peak processor usage that the estimate is based on.
    const PROCESSOR_PERCENT: usize = 80;
    /// Percentile of peak memory usage that the estimate is based on.
    const MEMORY_PERCENT: usize = 95;
    /// Estimated usage in percent of the observed percentile.
    const ALLOWANCE_PERCENT: u64 = 110;
    /// Number of jobs to observe before an estimate replaces the declared values.
    const MIN_SAMPLES: usize = 3;

    /// Records the peak usage of a job.
    pub(crate) fn record_peak(&mut self, peak: Resources) {
        push_bounded(&mut self.peaks, peak, Self::WINDOW);
        self.usage = self.estimate_usage();
    }

    /// Records the run time of a job.
    pub(crate) fn record_run_time(&mut self, run_time: Duration) {
        push_bounded(&mut self.run_times, run_time, Self::WINDOW);
        let enough = self.run_times.len() >= Self::MIN_SAMPLES;
        self.run_time = enough.then(|| quantile(self.run_times.iter().copied().collect(), 50));
    }

    /// Expected usage of a job, `None` until enough jobs were observed.
    pub fn usage(&self) -> Option<Resources> {
        self.usage
    }

    /// Expected run time of a job, the median, `None` until enough jobs were observed.
    pub fn run_time(&self) -> Option<Duration> {
        self.run_time
    }

    fn estimate_usage(&self) -> Option<Resources> {
        if self.peaks.len() < Self::MIN_SAMPLES {
            return None;
        }
        let millicores = self.peaks.iter().map(|peak| peak.millicores).collect();
        let memory = self.peaks.iter().map(|peak| peak.memory_mb).collect();
        Some(Resources {
            millicores: with_allowance(quantile(millicores, Self::PROCESSOR_PERCENT)),
            memory_mb: with_allowance(quantile(memory, Self::MEMORY_PERCENT)),
            accelerators: 0,
        })
    }
}

fn push_bounded<T>(window: &mut VecDeque<T>, sample: T, max: usize) {
    if window.len() == max {
        window.pop_front();
    }
    window.push_back(sample);
}

fn quantile<T: Ord + Copy>(mut samples: Vec<T>, percent: usize) -> T {
    samples.sort_unstable();
    samples[(samples.len() * percent / 100).min(samples.len() - 1)]
}

fn with_allowance(amount: u64) -> u64 {
    amount * Class::ALLOWANCE_PERCENT / 100
}
