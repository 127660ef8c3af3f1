//! Baseline for job placement: first fit by declared size, in the order of submission, without
//! preemption.

use {super::*, model::Resources, worker_simulation::WorkerSimulation};

/// Runs `trace` under the baseline.
pub(crate) fn run(trace: &trace::Trace) -> WorkerSimulation<'_> {
    let mut simulation = WorkerSimulation::new(trace);
    let mut free: Vec<_> = trace.workers.iter().map(|(_, worker)| worker.size).collect();
    let mut waiting: Vec<usize> = Vec::new();
    let (mut next, mut epoch, mut now) = (0, 0, Duration::ZERO);
    while now < trace.length {
        now += worker_simulation::STEP;
        while trace.tasks.get(next).is_some_and(|task| task.submitted <= now) {
            waiting.push(next);
            next += 1;
        }
        for (_, run, succeeded) in simulation.step(now) {
            free[run.worker] += trace.tasks[run.number].job.size;
            if !succeeded {
                waiting.push(run.number);
            }
        }
        waiting.retain(|&number| {
            let Some(worker) = first_fit(trace, &free, number) else { return true };
            free[worker] = free[worker].saturating_sub(trace.tasks[number].job.size);
            epoch += 1;
            simulation.start(epoch, number, worker, now);
            false
        });
    }
    simulation
}

/// The first worker with matching labels and enough free resources.
fn first_fit(trace: &trace::Trace, free: &[Resources], number: usize) -> Option<usize> {
    let job = &trace.tasks[number].job;
    let selected = |worker: usize| {
        let labels = &trace.workers[worker].1.labels;
        job.selector.as_ref().is_none_or(|selector| selector.matches(labels))
    };
    (0..free.len()).find(|&worker| job.size.fits(free[worker]) && selected(worker))
}
