//! Tests of what accepted jobs take: memory for what is begun, not for what is described.

mod world;

use {job::*, std::time::Duration, world::*};

fn one_pool(machines: usize) -> World {
    let mut world = World::new(1, config(&["a"]));
    for i in 0..machines {
        world.add_machine(&format!("m{i}"), "a", "r0", 16_000);
    }
    world.run(200);
    world
}

fn recurring(first: UnixMs, interval_ms: u64, count: u32) -> Spec {
    let interval = Duration::from_millis(interval_ms);
    let recurrence = Some(Recurrence { first, interval, count });
    Spec { recurrence, ..chain(&[1], 1000, 100) }
}

fn encoded_bytes(world: &World, job: JobId) -> usize {
    serde_json::to_vec(&world.table.jobs[&job]).expect("a record can be encoded").len()
}

/// Guards against voters killed for their memory: a request of 152 bytes made the state of 8,760
/// rounds, of 2.1 MB.
#[test]
fn a_job_with_many_rounds_takes_no_more_than_one_with_few() {
    let mut world = one_pool(1);
    let first = world.unix() + 3_600_000;
    world.submit(7, "a", recurring(first, 3_600_000, 6));
    let few = (world.table.footprint(), encoded_bytes(&world, 7));
    world.submit(8, "a", recurring(first, 3_600_000, 8760));
    world.submit(9, "a", recurring(first, 3_600_000, 100_000));
    assert_eq!(world.table.footprint(), 3 * few.0);
    for job in [8, 9] {
        assert!(encoded_bytes(&world, job) < few.1 + 100, "{} bytes", encoded_bytes(&world, job));
    }
}

/// Guards against memory that grows with the rounds that are done, also if they end out of order.
#[test]
fn rounds_that_are_done_take_no_memory() {
    let mut world = one_pool(2);
    let spec = recurring(world.unix(), 20, 300);
    let late = TaskId { job: 7, round: 3, group: 0, index: 0 };
    world.run_times.insert(late.group_id(), 5000);
    world.submit(7, "a", spec);
    world.run(3000);
    let before = encoded_bytes(&world, 7);
    world.run(1500);
    assert!(encoded_bytes(&world, 7) < before + 300);
    world.run(6000);
    assert_eq!(world.table.jobs[&7].state, JobState::Completed);
    assert_eq!(world.starts.len(), 300, "each round starts once");
    let mut rounds: Vec<_> = world.starts.iter().map(|start| start.1.round).collect();
    rounds.sort_unstable();
    assert!(rounds.iter().copied().eq(0..300));
}

/// Guards against planning passes over every round of a schedule that is far behind.
#[test]
fn rounds_that_are_all_due_at_once_run() {
    let mut world = one_pool(4);
    let spec = recurring(world.unix() - 10_000, 1, 3000);
    world.submit(7, "a", spec);
    world.run(30_000);
    assert_eq!(world.table.jobs[&7].state, JobState::Completed);
    assert_eq!(world.starts.len(), 3000);
}

/// Guards against a new leader that has lost count of the rounds.
#[test]
fn rounds_go_on_under_the_next_leader() {
    let mut world = one_pool(2);
    let spec = recurring(world.unix(), 50, 100);
    world.submit(7, "a", spec);
    for _ in 0..20 {
        world.run(450);
        world.change_leader(false);
    }
    world.run(8000);
    assert_eq!(world.table.jobs[&7].state, JobState::Completed);
}

/// Guards against jobs that keep their memory for as long as callers may ask for their state.
#[test]
fn an_ended_job_is_known_without_its_content() {
    let mut world = one_pool(4);
    let large = Spec { payload: "x".repeat(4000).into(), ..chain(&[30, 30], 500, 100) };
    world.submit(7, "a", large.clone());
    let accepted = world.table.footprint();
    world.run(5000);
    assert_eq!(world.table.jobs[&7].state, JobState::Completed);
    let at = world.unix() + Table::CONTENT_KEPT.as_millis() as u64;
    world.submit_at(at, None, 8, "a", chain(&[1], 500, 100));
    let record = &world.table.jobs[&7];
    assert!(record.is_resent_by(&"a".into(), &large, None));
    let other = Spec { payload: "y".into(), ..large };
    assert!(!record.is_resent_by(&"a".into(), &other, None));
    assert!(world.table.footprint() < accepted / 3, "{} bytes", world.table.footprint());
}

/// Guards against a sum that drifts: jobs would be refused for ever, or accepted beyond the budget.
#[test]
fn the_memory_of_forgotten_jobs_is_free_again() {
    let mut world = one_pool(3);
    for id in 1..=60 {
        world.submit(id, "a", chain(&[3, 2], 2000, 300));
        world.run(100);
        match id % 10 {
            3 => world.cancel(id),
            5 => world.change_leader(id % 20 == 5),
            7 => {
                let incarnation = world.starts.last().expect("a start").3.clone();
                world.crash(&incarnation, true);
            }
            _ => {}
        }
    }
    world.run(30_000);
    let after = world.unix() + 2 * Table::REMEMBERED.as_millis() as u64;
    world.submit_at(after, None, 1000, "a", chain(&[1], 500, 100));
    let left = JobRecord::footprint_of(&chain(&[1], 500, 100));
    assert_eq!(world.table.jobs.len(), 1);
    assert_eq!(world.table.footprint(), left);
}
