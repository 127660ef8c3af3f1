//! Queues whose policy lets tasks run on some instances only.

mod world;

use {job::*, world::*};

fn with_policy(seed: u64, machines: usize) -> World {
    let mut config = config(&["a"]);
    config.queues.values_mut().for_each(|queue| queue.admission = Some(ADMISSION));
    let mut world = World::new(seed, config);
    for i in 0..machines {
        world.add_machine(&format!("m{i}"), "a", &format!("r{}", i % 2), 16_000);
    }
    world.run(300);
    world
}

#[test]
fn tasks_start_only_with_leave_and_no_order_is_refused_for_want_of_it() {
    let mut world = with_policy(1, 9);
    for id in 1..=12 {
        world.submit(id, "a", chain(&[4, 3], 2000, 400));
        world.run(150);
    }
    world.run(8000);
    assert!((1..=12).all(|id| world.table.jobs[&id].state == JobState::Completed));
    assert_eq!(world.refused_tickets, 0);
}

#[test]
fn leave_for_the_next_group_is_there_when_its_turn_comes() {
    let mut world = with_policy(2, 9);
    world.submit(1, "a", chain(&[4, 3], 2000, 400));
    let handed_in = world.now;
    world.run(3000);
    let took = world.ended_at[&1] - handed_in;
    // One question before the first group; the second waits only for the first.
    assert!(took <= 800 + 150, "{took} ms for 800 ms of work");
}

#[test]
fn leave_that_has_run_out_is_asked_for_again() {
    let mut world = with_policy(3, 2);
    world.submit(1, "a", chain(&[16], 2000, 3000));
    world.submit(2, "a", chain(&[2], 2000, 500));
    world.run(12_000);
    assert!((1..=2).all(|id| world.table.jobs[&id].state == JobState::Completed));
    assert_eq!(world.refused_tickets, 0);
}

#[test]
fn a_new_owner_asks_again() {
    let mut world = with_policy(4, 6);
    world.submit(1, "a", chain(&[4, 3], 2000, 600));
    world.run(200);
    world.take_over(true);
    world.run(4000);
    assert_eq!(world.table.jobs[&1].state, JobState::Completed);
    assert_eq!(world.refused_tickets, 0);
}

#[test]
fn a_pool_whose_instances_are_all_refused_gets_others() {
    let mut config = config(&["a", "b"]);
    config.queues.values_mut().for_each(|queue| queue.admission = Some(ADMISSION));
    let mut world = World::new(5, config);
    world.add_machine("m0", "a", "r0", 16_000);
    while world.instances.keys().any(|life| World::allows(&life.name)) {
        let life = world.instances.keys().next().unwrap().clone();
        world.instances.remove(&life);
        world.crash(&life, false);
        world.machines.clear();
        world.run(20);
        world.add_machine("m0", "a", "r0", 16_000);
    }
    for i in 1..6 {
        world.add_machine(&format!("m{i}"), "b", "r0", 16_000);
    }
    world.run(300);
    world.submit(1, "a", chain(&[2], 2000, 400));
    world.run(20_000);
    assert_eq!(world.table.jobs[&1].state, JobState::Completed);
}
