//! Estimates run times of tasks from the attempts that have ended. Callers' estimates are right on
//! average but far off for single groups: long estimates tend to be too long and short ones too
//! short. The tasks of one group are much alike, so the first one that ends is used to estimate the
//! others.

use super::*;

/// The caller's estimate has the weight of this many observations.
const PRIOR_WEIGHT: f64 = 12.0;
/// Assumed variance of the logarithm of a run time around its estimate, before it is known.
const PRIOR_VARIANCE: f64 = 0.09;
/// A quarter of normally distributed values lie further below the mean than this, in standard
/// deviations.
const LOWER_QUARTILE: f64 = 0.674;

/// Observed run times.
#[derive(Debug, Default)]
pub(crate) struct DurationEstimator {
    queues: Map<Name, Fit>,
    /// Run time of the task that ended last, by group.
    observed: Map<GroupId, Duration>,
    /// When the last task of each group was placed.
    placed: Map<GroupId, UnixMs>,
}

/// Least-squares fit of the logarithm of the actual time, `y`, to that of the estimate, `x`. The
/// fields are the number of observations and the sums over them.
#[derive(Debug, Default)]
struct Fit {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
}

impl Fit {
    fn add(&mut self, x: f64, y: f64) {
        self.count += 1.0;
        self.x += x;
        self.y += y;
        self.xx += x * x;
        self.xy += x * y;
        self.yy += y * y;
    }

    /// Slope of the fit, with the means of both values.
    fn slope(&self) -> (f64, f64, f64) {
        let (mean_x, mean_y) = (self.x / self.count, self.y / self.count);
        let variance = self.xx / self.count - mean_x * mean_x;
        let covariance = self.xy / self.count - mean_x * mean_y;
        let slope = if variance > 0.0 { (covariance / variance).clamp(0.0, 1.0) } else { 1.0 };
        (slope, mean_x, mean_y)
    }

    /// Standard deviation of the logarithm of the actual time around the prediction.
    fn spread(&self) -> f64 {
        if self.count < 2.0 {
            return PRIOR_VARIANCE.sqrt();
        }
        let (slope, mean_x, mean_y) = self.slope();
        let variance_x = self.xx / self.count - mean_x * mean_x;
        let variance_y = self.yy / self.count - mean_y * mean_y;
        let covariance = self.xy / self.count - mean_x * mean_y;
        let residual = variance_y - 2.0 * slope * covariance + slope * slope * variance_x;
        let weighted = residual.max(0.0) * self.count + PRIOR_VARIANCE * PRIOR_WEIGHT;
        (weighted / (self.count + PRIOR_WEIGHT)).sqrt()
    }

    /// Predicts the logarithm of the actual time from that of the estimate, `x`. The prediction of
    /// the fit is blended with `x`, with more weight on the fit the more observations there are.
    fn predict(&self, x: f64) -> f64 {
        if self.count < 2.0 {
            return x;
        }
        let (slope, mean_x, mean_y) = self.slope();
        let predicted = mean_y + slope * (x - mean_x);
        let weight = self.count / (self.count + PRIOR_WEIGHT);
        weight * predicted + (1.0 - weight) * x
    }
}

fn ln_ms(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1000.0).max(1.0).ln()
}

impl DurationEstimator {
    /// Records the run time of a task that finished. Only the first one of each group is added to
    /// the fit, since the tasks of a group are much alike.
    pub(crate) fn observe(
        &mut self,
        queue: &Name,
        group_id: GroupId,
        group: &Group,
        took: Duration,
    ) {
        let is_first = self.observed.insert(group_id, took).is_none();
        if is_first {
            let fit = self.queues.entry(queue.clone()).or_default();
            fit.add(ln_ms(group.estimate), ln_ms(took));
        }
    }

    /// Expected run time of a task of the group.
    pub(crate) fn estimate(&self, queue: &Name, group_id: GroupId, group: &Group) -> Duration {
        if let Some(took) = self.observed.get(&group_id) {
            return *took;
        }
        let Some(fit) = self.queues.get(queue) else { return group.estimate };
        Duration::from_secs_f64(fit.predict(ln_ms(group.estimate)).exp() / 1000.0)
    }

    /// A run time that three quarters of the tasks of the group exceed. The objective of a job
    /// grows with its run time, so short jobs are the first to miss theirs.
    pub(crate) fn lower_quartile(
        &self,
        queue: &Name,
        group_id: GroupId,
        group: &Group,
    ) -> Duration {
        let estimate = self.estimate(queue, group_id, group);
        if self.observed.contains_key(&group_id) {
            return estimate;
        }
        let spread = self.queues.get(queue).map_or(PRIOR_VARIANCE.sqrt(), Fit::spread);
        estimate.mul_f64((-LOWER_QUARTILE * spread).exp())
    }

    /// Records that no task of the group waits any more.
    pub(crate) fn record_placed(&mut self, group_id: GroupId, unix: UnixMs) {
        self.placed.insert(group_id, unix);
    }

    /// Time since the last task of the group was placed.
    pub(crate) fn running_for(&self, group_id: GroupId, unix: UnixMs) -> Duration {
        let placed = self.placed.get(&group_id).copied().unwrap_or(unix);
        Duration::from_millis(unix.saturating_sub(placed))
    }

    /// Drops the observations of jobs that have ended.
    pub(crate) fn forget(&mut self, live: &BTreeSet<JobId>) {
        self.observed.retain(|group_id, _| live.contains(&group_id.job));
        self.placed.retain(|group_id, _| live.contains(&group_id.job));
    }
}
