use super::*;

/// What was seen of the jobs of one class.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    peaks: VecDeque<Resources>,
    run_times: VecDeque<Duration>,
    usage: Option<Resources>,
    run_time: Option<Duration>,
}

impl Class {
    /// Jobs of a class that are remembered.
    const WINDOW: usize = 32;
    /// Share of the jobs that an estimate of processors covers, in percent.
    const PROCESSOR_PERCENT: usize = 80;
    /// Share of the jobs that an estimate of memory covers, in percent.
    const MEMORY_PERCENT: usize = 95;
    /// Allowance of an estimate of usage, in percent.
    const ALLOWANCE_PERCENT: u64 = 110;
    /// Jobs to see before their usage goes before what is declared.
    const MIN_SAMPLES: usize = 3;

    /// Remembers the greatest usage of a job.
    pub(crate) fn see_peak(&mut self, peak: Resources) {
        keep(&mut self.peaks, peak, Self::WINDOW);
        self.usage = self.estimate_usage();
    }

    /// Remembers the run time of a job.
    pub(crate) fn see_run_time(&mut self, run_time: Duration) {
        keep(&mut self.run_times, run_time, Self::WINDOW);
        let enough = self.run_times.len() >= Self::MIN_SAMPLES;
        self.run_time = enough.then(|| quantile(self.run_times.iter().copied().collect(), 50));
    }

    /// Usage to expect of a job, where enough were seen.
    pub fn usage(&self) -> Option<Resources> {
        self.usage
    }

    /// Run time to expect of a job, where enough were seen.
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
            millicores: allowed(quantile(millicores, Self::PROCESSOR_PERCENT)),
            memory_mb: allowed(quantile(memory, Self::MEMORY_PERCENT)),
            accelerators: 0,
        })
    }
}

fn keep<T>(window: &mut VecDeque<T>, sample: T, max: usize) {
    if window.len() == max {
        window.pop_front();
    }
    window.push_back(sample);
}

fn quantile<T: Ord + Copy>(mut samples: Vec<T>, percent: usize) -> T {
    samples.sort_unstable();
    samples[(samples.len() * percent / 100).min(samples.len() - 1)]
}

fn allowed(amount: u64) -> u64 {
    amount * Class::ALLOWANCE_PERCENT / 100
}
