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
/// Two windows of this length, one after the other, show whether the rate rises.
const TREND_WINDOW: Duration = Duration::from_millis(500);
/// The expected rate is at most this multiple of the present one, since a rise ends at some time.
const MAX_GROWTH: f64 = 2.0;
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

    /// Work that is expected to arrive in a millisecond at the time `ahead` from now. A rise of the
    /// rate is taken to go on as far as it exceeds what may be chance: a burst takes seconds to
    /// reach its peak, and capacity ordered at its first sign would be too small on arrival.
    pub fn expected_rate(&self, now: Time, ahead: Duration) -> u64 {
        let rate = self.rate(now) as f64;
        let start = now.saturating_sub(TREND_WINDOW);
        let (latest, latest_squares) = self.sum(now, TREND_WINDOW);
        let (earlier, earlier_squares) = self.sum(start, TREND_WINDOW);
        let deviation = TOLERANCE * (latest_squares + earlier_squares).sqrt();
        let rise = (latest - earlier - deviation).max(0.0) / TREND_WINDOW.as_millis() as f64;
        let growth = rise * ahead.as_secs_f64() / TREND_WINDOW.as_secs_f64();
        (rate + growth).min(rate * MAX_GROWTH) as u64
    }

    /// Work of the jobs in the window that ends at `end`, and the sum of its squares.
    fn sum(&self, end: Time, window: Duration) -> (f64, f64) {
        let recent = self.recent.iter().rev().skip_while(|(at, _)| *at > end);
        let recent = recent.take_while(|(at, _)| *at + window > end);
        recent.fold((0.0, 0.0), |(work, squares), (_, job)| (work + job, squares + job * job))
    }

    /// Mean rate in a window, and the lowest and highest rate that it agrees with.
    fn measure(&self, now: Time, window: Duration) -> (f64, f64, f64) {
        let length = window.as_millis() as f64;
        let (work, squares) = self.sum(now, window);
        let deviation = TOLERANCE * squares.sqrt();
        let low = (work - deviation).max(0.0);
        let high = work + deviation + TOLERANCE * self.mean_work;
        (work / length, low / length, high / length)
    }
}
