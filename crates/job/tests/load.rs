//! The load of a heavy day: four queues have their turns one after the other, each asking in its
//! turn more than twice what its pool holds. Checked is what callers get.

mod world;

use {job::*, rand::Rng, std::time::Duration, world::*};

const QUEUES: [&str; 4] = ["a", "b", "c", "d"];
const MACHINES_PER_POOL: usize = 10;
const MACHINE_MILLICORES: u64 = 64_000;
/// Before the first turn.
const LEAD_MS: u64 = 10_000;
const TURN_MS: u64 = 8_000;
/// After the last turn.
const FINISH_MS: u64 = 15_000;

struct Day {
    world: World,
    /// Queue and time of hand-in by job.
    jobs: Vec<(JobId, &'static str, u64)>,
    /// Machine-milliseconds in pools that are not spare, over the whole day.
    in_pools: u64,
}

/// Jobs a second and their shape, by queue: small ones for `a` and `c`, large ones for `b` and `d`.
fn shape(queue: &str) -> (f64, Spec) {
    match queue {
        "a" | "c" => (34.0, chain(&[6, 4], 3500, 800)),
        _ => (8.0, chain(&[8, 8], 7700, 1300)),
    }
}

fn play(seed: u64, turns: u64) -> Day {
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
    let mut day = Day { world, jobs: Vec::new(), in_pools: 0 };
    day.run(LEAD_MS);
    let mut next = 1;
    for _ in 0..turns * TURN_MS / 20 {
        let turn = (day.world.now - LEAD_MS) / TURN_MS;
        for (i, queue) in QUEUES.into_iter().enumerate() {
            let (rate, spec) = shape(queue);
            let share = if turn % 4 == i as u64 { 1.0 } else { 0.02 };
            if day.world.rng.random_bool(rate * share * 0.02) {
                day.world.submit(next, queue, spec);
                day.jobs.push((next, queue, day.world.now));
                next += 1;
            }
        }
        day.run(20);
    }
    day.run(FINISH_MS);
    day
}

impl Day {
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.world.run(20);
            let on = self.world.machines.values().filter(|machine| &*machine.pool != "spare");
            self.in_pools += 20 * on.count() as u64;
        }
    }

    /// Share of the jobs of `queue` that were done within their objective.
    fn in_time(&self, queue: &str) -> f64 {
        let of_queue: Vec<_> = self.jobs.iter().filter(|(_, name, _)| *name == queue).collect();
        let config = self.world.table.config.as_ref().expect("the world has a configuration");
        let objective = config
            .queue(queue)
            .expect("the queue is configured")
            .objective(shape(queue).1.critical_path(Duration::ZERO));
        let in_time = of_queue.iter().filter(|(id, _, at)| {
            let over = self.world.ended_at.get(id);
            over.is_some_and(|over| over - at <= objective.as_millis() as u64)
        });
        in_time.count() as f64 / of_queue.len() as f64
    }
}

#[test]
fn every_queue_is_served_in_time_in_its_turn() {
    for seed in 1..=3 {
        let day = play(seed, 4);
        for queue in QUEUES {
            let share = day.in_time(queue);
            assert!(share >= 0.85, "seed {seed}: {share:.2} of the jobs of `{queue}` were in time");
        }
        assert!(day.world.table.live.is_empty(), "seed {seed}: jobs are left over");
    }
}

#[test]
fn machines_that_nobody_needs_wait_in_the_spare_pool() {
    let day = play(4, 4);
    let all = (QUEUES.len() * MACHINES_PER_POOL) as u64 * (LEAD_MS + 4 * TURN_MS + FINISH_MS);
    let share = day.in_pools as f64 / all as f64;
    assert!(share <= 2.0 / 3.0, "machines were in pools for {share:.2} of the time");
}

#[test]
fn a_job_that_is_late_is_still_finished_once_there_is_room() {
    let mut world = World::new(5, config(&["a"]));
    world.add_machine("m0", "a", "r0", 16_000);
    world.run(200);
    for id in 1..=40 {
        world.submit(id, "a", chain(&[4], 4000, 1000));
    }
    world.run(50_000);
    assert!(world.table.live.is_empty());
}

#[test]
fn under_overload_what_is_started_is_finished_in_time() {
    let mut world = World::new(6, config(&["a"]));
    for i in 0..4 {
        world.add_machine(&format!("m{i}"), "a", "r0", 16_000);
    }
    world.run(200);
    // 16 tasks fit at once and last a second; three times as many come in.
    let mut handed_in = Vec::new();
    for id in 1..=96 {
        handed_in.push((id, world.now));
        world.submit(id, "a", chain(&[4], 4000, 1000));
        world.run(84);
    }
    world.run(40_000);
    let in_time = handed_in.iter().filter(|(id, at)| world.ended_at[id] - at <= 2200).count();
    // Four jobs a second have room in eight seconds.
    assert!(in_time >= 24, "{in_time} jobs were in time, 32 have room");
}

#[test]
fn a_job_that_fits_no_machine_draws_no_machines_and_harms_no_other() {
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
    assert!(held <= 3, "{held} machines are held for work that nobody can do");
    for id in 21..=30 {
        world.submit(id, "b", chain(&[2], 4000, 500));
        world.run(200);
    }
    world.run(3000);
    assert!(in_pool(&world) <= held);
    assert!((21..=30).all(|id| world.table.jobs[&id].state == JobState::Completed));
}

#[test]
fn what_stays_for_long_is_kept_together_on_few_machines() {
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
        spec.groups[0].long_running = true;
        spec.groups[0].max_per_instance = Some(1);
        spec.groups[1].best_effort = true;
        spec.groups[1].long_running = true;
        spec.groups[1].after.clear();
        world.submit(id, "a", spec);
        world.run(100);
    }
    world.run(3000);
    let busy = world.instances.values().filter(|i| i.alive && !i.running.is_empty()).count();
    assert!(busy <= 5, "{busy} machines are held by tasks that four could hold");
}
