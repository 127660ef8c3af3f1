//! Plays a burst that starts while the pool of an earlier burst is full of late work, and checks what
//! its callers get with busy machines lent to it and without.

mod world;

use {
    job::*,
    model::{Mechanism, Mechanisms},
    rand::Rng,
    std::time::Duration,
    world::*,
};

const MACHINES_PER_POOL: usize = 20;
const MACHINE_MILLICORES: u64 = 32_000;
const STEP_MS: u64 = 20;
/// The first burst leaves late work for several seconds.
const FIRST_BURST_MS: u64 = 6_000;
const PAUSE_MS: u64 = 4_000;
const SECOND_BURST_MS: u64 = 5_000;
/// Three times what all machines can do, and three quarters of it.
const FIRST_JOBS_PER_SECOND: f64 = 24.0;
const SECOND_JOBS_PER_SECOND: f64 = 15.0;
/// Time for the late work after the second burst: it takes 8 s on all machines.
const MAX_TIME_AFTER_BURSTS_MS: u64 = 30_000;

/// What the callers of the second burst get.
struct Outcome {
    in_time: f64,
    /// Whether every job has ended, also those of the first burst.
    all_ended: bool,
    preempted: usize,
}

/// A job of queue `a`, with long tasks, or of queue `b`, with short ones.
fn job_spec(queue: &str) -> Spec {
    let mut spec = chain(&[8], 6_700, if queue == "a" { 2_500 } else { 1_000 });
    spec.groups[0].has_checkpoints = true;
    spec
}

fn play(seed: u64, off: &[Mechanism]) -> Outcome {
    let mut mechanisms = Mechanisms::default();
    off.iter().for_each(|mechanism| mechanisms.set(*mechanism, false));
    let bounds = Bounds { parking_idle_time: Duration::from_secs(60), ..Bounds::default() };
    let mut world = World::with_bounds(seed, config(&["a", "b"]), bounds);
    world.scheduler = std::mem::take(&mut world.scheduler).with_mechanisms(mechanisms);
    for queue in ["a", "b"] {
        for i in 0..MACHINES_PER_POOL {
            let rack = format!("r{}", i / 4);
            world.add_machine(&format!("m-{queue}{i}"), queue, &rack, MACHINE_MILLICORES);
        }
    }
    world.run(3_000);
    let mut jobs = Vec::new();
    burst(&mut world, &mut jobs, "a", FIRST_BURST_MS, FIRST_JOBS_PER_SECOND);
    world.run(PAUSE_MS);
    let first = jobs.len();
    burst(&mut world, &mut jobs, "b", SECOND_BURST_MS, SECOND_JOBS_PER_SECOND);
    world.run(MAX_TIME_AFTER_BURSTS_MS);
    let queue = world.table.config.as_ref().and_then(|config| config.queue("b"));
    let objective =
        queue.expect("a queue").objective(job_spec("b").critical_path(Duration::ZERO)).as_millis();
    let second = &jobs[first..];
    let met = second.iter().filter(|(id, at)| {
        world.ended_at.get(id).is_some_and(|ended| u128::from(ended - at) <= objective)
    });
    Outcome {
        in_time: met.count() as f64 / second.len() as f64,
        all_ended: jobs.iter().all(|(id, _)| world.ended_at.contains_key(id)),
        preempted: world.notes.iter().filter(|note| note.what == "task-preempted").count(),
    }
}

fn burst(world: &mut World, jobs: &mut Vec<(JobId, u64)>, queue: &str, ms: u64, per_second: f64) {
    for _ in 0..ms / STEP_MS {
        if world.rng.random_bool(per_second * STEP_MS as f64 / 1000.0) {
            let id = jobs.len() as JobId + 1;
            world.submit(id, queue, job_spec(queue));
            jobs.push((id, world.now));
        }
        world.run(STEP_MS);
    }
}

fn mean_in_time(off: &[Mechanism]) -> f64 {
    let mut sum = 0.0;
    for seed in 1..=4 {
        let Outcome { in_time, all_ended, preempted } = play(seed, off);
        println!("off {off:?}, seed {seed}: {in_time:.3} in time, {preempted} preempted");
        assert!(all_ended, "seed {seed}: late work must end, with machines lent or not");
        sum += in_time / 4.0;
    }
    sum
}

/// Guards against a burst that waits until the late work of an earlier burst has run out.
#[test]
fn a_burst_gets_machines_from_late_work() {
    let none = mean_in_time(&[Mechanism::Lending, Mechanism::Preemption]);
    let lending = mean_in_time(&[Mechanism::Preemption]);
    let both = mean_in_time(&[]);
    println!(
        "in time: {none:.3} without, {lending:.3} with lending, {both:.3} with preemption too"
    );
    assert!(both >= none + 0.1, "{both:.3} of the second burst in time, {none:.3} without lending");
    assert!(
        both >= lending - 0.05,
        "preemption makes jobs late: {both:.3} instead of {lending:.3}"
    );
}
