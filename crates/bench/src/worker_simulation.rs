//! Simulates tasks on workers: tasks share the processors of an overloaded worker, and fail if its
//! memory overflows.

use {super::*, model::Resources};

/// Simulated time per step.
pub(crate) const STEP: Duration = Duration::from_millis(100);

/// A running task.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Index of the task in the trace.
    pub(crate) number: usize,
    /// Index of the worker in the trace.
    pub(crate) worker: usize,
    /// Limit on its processor usage, in millicores.
    pub(crate) limit: u64,
    /// When the checkpoint in progress will be complete.
    pub(crate) checkpointed_at: Option<Duration>,
}

/// Workers and the tasks on them.
#[derive(Debug)]
pub(crate) struct WorkerSimulation<'a> {
    pub(crate) trace: &'a trace::Trace,
    /// Running tasks, by the epoch of their placement.
    pub(crate) runs: BTreeMap<u64, Run>,
    /// Remaining work of each task, in seconds at full speed.
    pub(crate) left: Vec<f64>,
    /// First start of each task.
    pub(crate) started: Vec<Option<Duration>>,
    pub(crate) done: Vec<Option<Duration>>,
    /// Processor time used by tasks, in seconds.
    pub(crate) used: f64,
    /// Tasks that failed for lack of memory.
    pub(crate) failures: u64,
}

impl<'a> WorkerSimulation<'a> {
    pub(crate) fn new(trace: &'a trace::Trace) -> Self {
        let tasks = trace.tasks.len();
        Self {
            trace,
            runs: BTreeMap::new(),
            left: trace.tasks.iter().map(|task| task.work.as_secs_f64()).collect(),
            started: vec![None; tasks],
            done: vec![None; tasks],
            used: 0.0,
            failures: 0,
        }
    }

    pub(crate) fn start(&mut self, epoch: u64, number: usize, worker: usize, now: Duration) {
        self.started[number].get_or_insert(now);
        let run = Run { number, worker, limit: u64::MAX, checkpointed_at: None };
        self.runs.entry(epoch).or_insert(run);
    }

    /// Resources that a running task uses, within its limit.
    pub(crate) fn usage(&self, run: &Run) -> Resources {
        let mut usage = self.trace.tasks[run.number].usage;
        usage.millicores = usage.millicores.min(run.limit);
        usage
    }

    /// Simulates one step that ends at `now`; returns the epochs and runs of the tasks that ended,
    /// and whether they succeeded.
    pub(crate) fn step(&mut self, now: Duration) -> Vec<(u64, Run, bool)> {
        let mut loads = vec![Resources::default(); self.trace.workers.len()];
        for run in self.runs.values() {
            loads[run.worker] += self.usage(run);
        }
        let mut ended = Vec::new();
        // Latest placements first, since these fail if the memory overflows.
        for (epoch, run) in self.runs.iter().rev() {
            let size = self.trace.workers[run.worker].1.size;
            let load = &mut loads[run.worker];
            let usage = self.usage(run);
            if load.memory_mb > size.memory_mb {
                *load = load.saturating_sub(usage);
                ended.push((*epoch, run.clone(), false));
                continue;
            }
            let share = (size.millicores as f64 / load.millicores.max(1) as f64).min(1.0);
            let full = self.trace.tasks[run.number].usage.millicores.max(1) as f64;
            let processors = usage.millicores as f64 * share;
            self.used += processors / 1000.0 * STEP.as_secs_f64();
            self.left[run.number] -= processors / full * STEP.as_secs_f64();
            if self.left[run.number] <= 0.0 {
                ended.push((*epoch, run.clone(), true));
            }
        }
        for (epoch, run, succeeded) in &ended {
            self.runs.remove(epoch);
            if *succeeded {
                self.done[run.number] = Some(now);
            } else {
                self.failures += 1;
                self.left[run.number] = self.trace.tasks[run.number].work.as_secs_f64();
            }
        }
        ended
    }
}
