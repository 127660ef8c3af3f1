//! The rate at which work arrives. A long window gives a steady rate, and a short one notices at once
//! when a burst starts or ends. The estimate is that of the longest window, moved by each shorter one
//! just as far as that window contradicts it: work arrives in jobs of different sizes, so the work
//! seen in a window is uncertain by about the root of the sum of their squares.

use super::*;

/// Work that has arrived lately.
#[derive(Debug, Clone, Default)]
pub struct Arrivals {
    /// Time and work of each job, earliest first.
    recent: VecDeque<(Time, f64)>,
    /// Moving average of the work of a job.
    mean_work: f64,
}

/// Windows over which the rate is measured, longest first.
const WINDOWS: [Duration; 5] = [
    Duration::from_millis(2000),
    Duration::from_millis(1000),
    Duration::from_millis(500),
    Duration::from_millis(250),
    Duration::from_millis(125),
];
/// Deviation by which a window may differ by chance, in standard deviations.
const TOLERANCE: f64 = 1.0;
/// Weight of the latest job in the average work of a job.
const MEAN_WORK_WEIGHT: f64 = 0.1;

impl Arrivals {
    /// Records a job with this much work. Times must not decrease.
    pub fn record(&mut self, at: Time, work: u64) {
        let work = work as f64;
        let weight = if self.mean_work == 0.0 { 1.0 } else { MEAN_WORK_WEIGHT };
        self.mean_work += weight * (work - self.mean_work);
        self.recent.push_back((at, work));
        self.forget(at);
    }

    /// Drops what no window covers any more.
    fn forget(&mut self, now: Time) {
        while self.recent.front().is_some_and(|(at, _)| *at + WINDOWS[0] < now) {
            self.recent.pop_front();
        }
    }

    /// Work that arrives in a millisecond.
    pub fn rate(&self, now: Time) -> u64 {
        let (mean, _, _) = self.measure(now, WINDOWS[0]);
        let rate = WINDOWS[1..].iter().fold(mean, |rate, window| {
            let (_, low, high) = self.measure(now, *window);
            rate.clamp(low, high)
        });
        rate as u64
    }

    /// Mean rate in a window, and the lowest and highest rate that it agrees with.
    fn measure(&self, now: Time, window: Duration) -> (f64, f64, f64) {
        let length = window.as_millis() as f64;
        let (mut work, mut squares) = (0.0, 0.0);
        let recent = self.recent.iter().rev().take_while(|(at, _)| *at + window > now);
        for (_, job) in recent {
            work += job;
            squares += job * job;
        }
        let deviation = TOLERANCE * squares.sqrt();
        let low = (work - deviation).max(0.0);
        let high = work + deviation + TOLERANCE * self.mean_work;
        (work / length, low / length, high / length)
    }
}
