//! How long tasks take, as far as ends have shown. What callers declare is far off for single groups,
//! though right on average: the longer a declared time, the more it tends to overstate, and the other
//! way round. Tasks of one group are much alike, so the first that ends tells about the others.

use super::*;

/// Ends that count as much as what was declared.
const PRIOR: f64 = 12.0;

/// What ends have shown.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    queues: BTreeMap<Name, Line>,
    /// Groups of which a task has ended.
    shown: BTreeMap<GroupId, Duration>,
}

/// Least squares through the logarithms of declared and true times.
#[derive(Debug, Default)]
struct Line {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Line {
    fn add(&mut self, x: f64, y: f64) {
        self.count += 1.0;
        self.x += x;
        self.y += y;
        self.xx += x * x;
        self.xy += x * y;
    }

    /// The true logarithm that goes with `x`, between `x` itself and what the ends say.
    fn at(&self, x: f64) -> f64 {
        if self.count < 2.0 {
            return x;
        }
        let (mean_x, mean_y) = (self.x / self.count, self.y / self.count);
        let variance = self.xx / self.count - mean_x * mean_x;
        let covariance = self.xy / self.count - mean_x * mean_y;
        let slope = if variance > 0.0 { (covariance / variance).clamp(0.0, 1.0) } else { 1.0 };
        let told = mean_y + slope * (x - mean_x);
        let weight = self.count / (self.count + PRIOR);
        weight * told + (1.0 - weight) * x
    }
}

fn logarithm(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1000.0).max(1.0).ln()
}

impl Durations {
    /// Takes it that a task has taken `took` from its start to its end.
    pub(crate) fn show(&mut self, queue: &Name, group_id: GroupId, group: &Group, took: Duration) {
        let first = self.shown.insert(group_id, took).is_none();
        if first {
            let line = self.queues.entry(queue.clone()).or_default();
            line.add(logarithm(group.estimate), logarithm(took));
        }
    }

    /// How long each task of a group takes.
    pub(crate) fn expect(&self, queue: &Name, group_id: GroupId, group: &Group) -> Duration {
        if let Some(took) = self.shown.get(&group_id) {
            return *took;
        }
        let Some(line) = self.queues.get(queue) else { return group.estimate };
        Duration::from_secs_f64(line.at(logarithm(group.estimate)).exp() / 1000.0)
    }

    /// Forgets groups of jobs that are over.
    pub(crate) fn forget(&mut self, live: &BTreeSet<JobId>) {
        self.shown.retain(|group_id, _| live.contains(&group_id.job));
    }
}
