//! Compares the placement planner with first fit by declared size on seeded traces.

use {
    super::*, model::Urgency, planner_run::PlannerRun, trace::Site,
    worker_simulation::WorkerSimulation,
};

/// Result of one policy on one trace.
#[derive(Debug, Serialize)]
struct Figures {
    experiment: &'static str,
    seed: u64,
    site: &'static str,
    policy: &'static str,
    workers: usize,
    jobs: usize,
    live_jobs_max: usize,
    in_time_percent: f64,
    urgent_start_p50_s: f64,
    urgent_start_p99_s: f64,
    urgent_start_max_s: f64,
    urgent_not_started: usize,
    moves: u64,
    failures: u64,
    utilisation_percent: f64,
    pass_p50_ms: f64,
    pass_p99_ms: f64,
    core_percent: f64,
}

/// Runs both policies on the trace of every site, and prints JSON lines and a table.
pub(crate) fn run(seed: u64) -> eyre::Result<()> {
    let mut all = Vec::new();
    for site in sites() {
        let trace = site.trace(seed);
        let baseline = first_fit::run(&trace);
        all.push(figures(seed, &site, "first fit", &baseline));
        let planner_run = PlannerRun::run(&trace);
        let mut figures = figures(seed, &site, "planner", &planner_run.simulation);
        let mut passes = planner_run.passes;
        passes.sort_unstable();
        figures.moves = planner_run.moves;
        figures.live_jobs_max = planner_run.live_max;
        figures.pass_p50_ms = quantile(&passes, 50).as_secs_f64() * 1e3;
        figures.pass_p99_ms = quantile(&passes, 99).as_secs_f64() * 1e3;
        figures.core_percent = planner_run.busy.as_secs_f64() / trace.length.as_secs_f64() * 100.0;
        all.push(figures);
    }
    for figures in &all {
        println!("{}", serde_json::to_string(figures)?);
    }
    print_table(seed, &all);
    Ok(())
}

/// Two installations of 50 workers, then a quarter, a half and the whole of the planned size.
fn sites() -> Vec<Site> {
    let small = |name, processors, memory_gb| Site {
        name,
        workers: 50,
        processors,
        memory_gb,
        accelerators: 0,
        pools: 5,
        teams: 5,
        load: 0.85,
        length: Duration::from_secs(1800),
    };
    let large = |name, divisor: usize| Site {
        name,
        workers: 660 / divisor,
        processors: 16,
        memory_gb: 32,
        accelerators: 810 / divisor,
        pools: 80 / divisor,
        teams: 150 / divisor,
        load: 1.5,
        length: Duration::from_secs(400),
    };
    vec![
        small("okafor", 64, 128),
        small("dalagrant", 32, 64),
        large("quarter", 4),
        large("half", 2),
        large("planned size", 1),
    ]
}

/// Evaluates the tasks whose deadline is within the trace.
fn figures(seed: u64, site: &Site, policy: &'static str, simulation: &WorkerSimulation) -> Figures {
    let trace = simulation.trace;
    let evaluated = || trace.tasks.iter().enumerate().filter(|(_, task)| due(task) <= trace.length);
    let all: u64 = evaluated().map(|(_, task)| task.weight).sum();
    let in_time =
        evaluated().filter(|(n, task)| simulation.done[*n].is_some_and(|at| at <= due(task)));
    let in_time: u64 = in_time.map(|(_, task)| task.weight).sum();
    let urgent = || evaluated().filter(|(_, task)| task.job.urgency == Urgency::Urgent);
    let starts = urgent().filter_map(|(n, task)| Some(simulation.started[n]? - task.submitted));
    let mut starts: Vec<_> = starts.collect();
    starts.sort_unstable();
    let capacity: u64 = trace.workers.iter().map(|(_, worker)| worker.size.millicores).sum();
    let capacity = capacity as f64 / 1000.0 * trace.length.as_secs_f64();
    Figures {
        experiment: "placement",
        seed,
        site: site.name,
        policy,
        workers: site.workers,
        jobs: trace.tasks.len(),
        live_jobs_max: 0,
        in_time_percent: in_time as f64 / all.max(1) as f64 * 100.0,
        urgent_start_p50_s: quantile(&starts, 50).as_secs_f64(),
        urgent_start_p99_s: quantile(&starts, 99).as_secs_f64(),
        urgent_start_max_s: starts.last().copied().unwrap_or_default().as_secs_f64(),
        urgent_not_started: urgent().filter(|(n, _)| simulation.started[*n].is_none()).count(),
        moves: 0,
        failures: simulation.failures,
        utilisation_percent: simulation.used / capacity * 100.0,
        pass_p50_ms: 0.0,
        pass_p99_ms: 0.0,
        core_percent: 0.0,
    }
}

/// Deadline of a task.
fn due(task: &trace::Task) -> Duration {
    task.submitted + task.job.deadline.unwrap_or_default()
}

fn quantile(sorted: &[Duration], percent: usize) -> Duration {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default()
}

fn print_table(seed: u64, all: &[Figures]) {
    println!("\nseed {seed}\n");
    println!(
        "| site | policy | jobs / live | in time, weighted | urgent start p50 / p99 / max | not started \
         | moves | failures | utilisation | pass p50 / p99 | core |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for f in all {
        println!(
            "| {} | {} | {} / {} | {:.1}% | {:.1} / {:.1} / {:.1} s | {} | {} | {} | {:.0}% | {:.2} / \
             {:.2} ms | {:.2}% |",
            f.site,
            f.policy,
            f.jobs,
            f.live_jobs_max,
            f.in_time_percent,
            f.urgent_start_p50_s,
            f.urgent_start_p99_s,
            f.urgent_start_max_s,
            f.urgent_not_started,
            f.moves,
            f.failures,
            f.utilisation_percent,
            f.pass_p50_ms,
            f.pass_p99_ms,
            f.core_percent
        );
    }
}
