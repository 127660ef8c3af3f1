//! Tests a heavy load: four queues have bursts one after the other, each of more than twice the
//! capacity of its pool. Checks how many jobs meet their objective.

mod world;

use {job::*, rand::Rng, std::time::Duration, world::*};

const QUEUES: [&str; 4] = ["a", "b", "c", "d"];
const MACHINES_PER_POOL: usize = 10;
const MACHINE_MILLICORES: u64 = 64_000;
/// Time before the first burst, without jobs.
const WARMUP_MS: u64 = 10_000;
const BURST_MS: u64 = 8_000;
/// Time after the last burst.
const COOLDOWN_MS: u64 = 15_000;

struct Day {
    world: World,
    /// Id, queue and submission time of each job.
    jobs: Vec<(JobId, &'static str, u64)>,
    /// Total time of machines in pools other than the spare one, in milliseconds.
    pool_machine_ms: u64,
}

/// Jobs per second and their shape, by queue: small jobs for `a` and `c`, large ones for `b` and
/// `d`.
fn shape(queue: &str) -> (f64, Spec) {
    match queue {
        "a" | "c" => (34.0, chain(&[6, 4], 3500, 800)),
        _ => (8.0, chain(&[8, 8], 7700, 1300)),
    }
}

fn run_day(seed: u64, bursts: u64) -> Day {
    let mut world = World::new(seed, config(&QUEUES));
    for queue in QUEUES {
        for i in 0..MACHINES_PER_POOL {
            let rack = format!("r{}", i / 4);
            world.add_machine(&format!("m-{queue}{i}"), queue, &rack, MACHINE_MILLICORES);
        }
    }
    for i in 0..8 {
        world.add_machine(&format!("m-s{i}"), "spare", "rs", MACHINE_MILLICORES);
    }
    let mut day = Day { world, jobs: Vec::new(), pool_machine_ms: 0 };
    day.run(WARMUP_MS);
    let mut next = 1;
    for _ in 0..bursts * BURST_MS / 20 {
        let burst = (day.world.now - WARMUP_MS) / BURST_MS;
        for (i, queue) in QUEUES.into_iter().enumerate() {
            let (rate, spec) = shape(queue);
            let share = if burst % 4 == i as u64 { 1.0 } else { 0.02 };
            if day.world.rng.random_bool(rate * share * 0.02) {
                day.world.submit(next, queue, spec);
                day.jobs.push((next, queue, day.world.now));
                next += 1;
            }
        }
        day.run(20);
    }
    day.run(COOLDOWN_MS);
    day
}

impl Day {
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.world.run(20);
            let in_use = self.world.machines.values().filter(|machine| &*machine.pool != "spare");
            self.pool_machine_ms += 20 * in_use.count() as u64;
        }
    }

    /// Share of the jobs of `queue` that met their objective.
    fn in_time(&self, queue: &str) -> f64 {
        let of_queue: Vec<_> = self.jobs.iter().filter(|(_, name, _)| *name == queue).collect();
        let config = self.world.table.config.as_ref().expect("the world has a configuration");
        let objective = config
            .queue(queue)
            .expect("the queue is configured")
            .objective(shape(queue).1.critical_path(Duration::ZERO));
        let in_time = of_queue.iter().filter(|(id, _, at)| {
            let ended = self.world.ended_at.get(id);
            ended.is_some_and(|ended| ended - at <= objective.as_millis() as u64)
        });
        in_time.count() as f64 / of_queue.len() as f64
    }
}

#[test]
fn every_queue_meets_its_objective_in_its_burst() {
    for seed in 1..=3 {
        let day = run_day(seed, 4);
        for queue in QUEUES {
            let share = day.in_time(queue);
            assert!(share >= 0.85, "seed {seed}: {share:.2} of the jobs of `{queue}` were in time");
        }
        assert!(day.world.table.live.is_empty(), "seed {seed}: jobs are left over");
    }
}

#[test]
fn unneeded_machines_move_to_the_spare_pool() {
    let day = run_day(4, 4);
    let all = (QUEUES.len() * MACHINES_PER_POOL) as u64 * (WARMUP_MS + 4 * BURST_MS + COOLDOWN_MS);
    let share = day.pool_machine_ms as f64 / all as f64;
    assert!(share <= 2.0 / 3.0, "machines were in pools for {share:.2} of the time");
}

#[test]
fn late_jobs_are_finished_once_there_is_capacity() {
    let mut world = World::new(5, config(&["a"]));
    world.add_machine("m0", "a", "r0", 16_000);
    world.run(200);
    for id in 1..=40 {
        world.submit(id, "a", chain(&[4], 4000, 1000));
    }
    world.run(50_000);
    assert!(world.table.live.is_empty());
}

/// Guards against late work that takes the leader's time from work that can still be in time.
#[test]
fn late_work_has_only_a_share_of_the_pool_while_the_leader_is_behind() {
    let parking_idle_time = Duration::from_secs(60);
    let bounds = Bounds { parking_idle_time, ..Bounds::default() };
    let mut world = World::with_bounds(9, config(&["a"]), bounds);
    for i in 0..20 {
        world.add_machine(&format!("m{i}"), "a", "r0", 16_000);
    }
    world.run(400);
    let cores_in_use = |world: &World| {
        let tasks = world.instances.values().map(|instance| instance.running.len());
        4 * tasks.sum::<usize>()
    };
    world.scheduler.set_lag(Duration::from_millis(80));
    world.run(200);
    // The objectives of these jobs are over before they arrive.
    for id in 1..=30 {
        world.submit_at(world.unix() - 4000, None, id, "a", chain(&[8], 4000, 1000));
    }
    let mut most = 0;
    for _ in 0..60 {
        world.run(20);
        most = most.max(cores_in_use(&world));
    }
    assert!(most >= 4, "late work has a share");
    assert!(most <= 320 / 10 + 4, "{most} of 320 cores are in late use");
    world.scheduler.set_lag(Duration::ZERO);
    world.run(600);
    let used = cores_in_use(&world);
    assert!(used > 160, "{used} of 320 cores are in late use");
}

#[test]
fn jobs_started_under_overload_finish_in_time() {
    let mut world = World::new(6, config(&["a"]));
    for i in 0..4 {
        world.add_machine(&format!("m{i}"), "a", "r0", 16_000);
    }
    world.run(200);
    // 16 tasks fit at the same time and run for a second; three times as many arrive.
    let mut submitted = Vec::new();
    for id in 1..=96 {
        submitted.push((id, world.now));
        world.submit(id, "a", chain(&[4], 4000, 1000));
        world.run(84);
    }
    world.run(40_000);
    let in_time = submitted.iter().filter(|(id, at)| world.ended_at[id] - at <= 2200).count();
    // The capacity is enough for four jobs a second, over eight seconds.
    assert!(in_time >= 24, "{in_time} jobs were in time, there is room for 32");
}

#[test]
fn a_job_that_fits_no_machine_attracts_no_machines_and_delays_no_other() {
    let mut world = World::new(7, config(&["a", "b"]));
    for i in 0..6 {
        world.add_machine(&format!("m{i}"), if i < 3 { "a" } else { "b" }, "r0", 16_000);
    }
    world.run(3000);
    for id in 1..=20 {
        world.submit(id, "a", chain(&[8], 20_000, 1000));
    }
    world.run(3000);
    let in_pool = |world: &World| world.machines.values().filter(|m| &*m.pool == "a").count();
    let held = in_pool(&world);
    assert!(held <= 3, "{held} machines are held for jobs that fit no machine");
    for id in 21..=30 {
        world.submit(id, "b", chain(&[2], 4000, 500));
        world.run(200);
    }
    world.run(3000);
    assert!(in_pool(&world) <= held);
    assert!((21..=30).all(|id| world.table.jobs[&id].state == JobState::Completed));
}

#[test]
fn long_lived_tasks_are_packed_on_few_machines() {
    let mut world = World::new(8, config(&["a"]));
    for i in 0..8 {
        world.add_machine(&format!("m{i}"), "a", "r0", 64_000);
    }
    world.run(300);
    for id in 1..=12 {
        world.submit(id, "a", chain(&[8], 3500, 900));
    }
    world.run(40);
    for id in 21..=24 {
        let mut spec = chain(&[4, 2], 6000, 500);
        spec.groups[0].continuous = true;
        spec.groups[0].max_per_instance = Some(1);
        spec.groups[1].best_effort = true;
        spec.groups[1].continuous = true;
        spec.groups[1].after.clear();
        world.submit(id, "a", spec);
        world.run(100);
    }
    world.run(3000);
    let busy = world.instances.values().filter(|i| i.alive && !i.running.is_empty()).count();
    assert!(busy <= 5, "{busy} machines run tasks that fit on four");
}

/// Number of machine moves within half a second after a burst has begun.
fn moves_at_onset(machine_orders_per_second: u32) -> usize {
    let bounds = Bounds { machine_orders_per_second, ..Bounds::default() };
    let mut world = World::with_bounds(21, config(&["a", "b"]), bounds);
    for i in 0..4 {
        world.add_machine(&format!("m{i}"), "a", "r0", 16_000);
    }
    for i in 0..400 {
        world.add_machine(&format!("s{i}"), "spare", "r1", 16_000);
    }
    world.run(6000);
    let before = world.moves;
    for id in 0..10 {
        world.submit(id, "a", chain(&[400], 2000, 900));
    }
    world.run(500);
    world.moves - before
}

#[test]
fn a_burst_gets_machines_as_fast_as_the_platform_accepts_orders() {
    let (slow, fast) = (moves_at_onset(64), moves_at_onset(600));
    // What the platform accepts in half a second, and what it kept for a quarter.
    assert!(slow <= 64 * 3 / 4, "{slow} moves are too many");
    assert!(slow >= 64 / 4, "{slow} moves are too few");
    assert!(fast <= 600 * 3 / 4, "{fast} moves are too many");
    assert!(fast >= 600 / 3, "{fast} moves are too few");
}
