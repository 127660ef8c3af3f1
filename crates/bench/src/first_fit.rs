//! The plain baseline: first fit by declared size in the order of submission, no preemption.

use {super::*, model::Resources, workshop::Workshop};

/// Runs `trace` under the baseline.
pub(crate) fn run(trace: &trace::Trace) -> Workshop<'_> {
    let mut workshop = Workshop::new(trace);
    let mut free: Vec<_> = trace.workers.iter().map(|(_, worker)| worker.size).collect();
    let mut waiting: Vec<usize> = Vec::new();
    let (mut next, mut epoch, mut now) = (0, 0, Duration::ZERO);
    while now < trace.length {
        now += workshop::STEP;
        while trace.tasks.get(next).is_some_and(|task| task.submitted <= now) {
            waiting.push(next);
            next += 1;
        }
        for (_, run, well) in workshop.step(now) {
            free[run.worker] += trace.tasks[run.number].job.size;
            if !well {
                waiting.push(run.number);
            }
        }
        waiting.retain(|&number| {
            let Some(worker) = fit(trace, &free, number) else { return true };
            free[worker] = free[worker].saturating_sub(trace.tasks[number].job.size);
            epoch += 1;
            workshop.start(epoch, number, worker, now);
            false
        });
    }
    workshop
}

fn fit(trace: &trace::Trace, free: &[Resources], number: usize) -> Option<usize> {
    let job = &trace.tasks[number].job;
    let selected = |worker: usize| {
        let labels = &trace.workers[worker].1.labels;
        job.selector.as_ref().is_none_or(|selector| selector.matches(labels))
    };
    (0..free.len()).find(|&worker| job.size.fits(free[worker]) && selected(worker))
}
