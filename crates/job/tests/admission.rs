//! Tests queues whose admission policy allows only some instances.

mod world;

use {job::*, world::*};

/// A pool of machines whose queue has an admission policy.
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
fn tasks_start_only_with_a_valid_ticket() {
    let mut world = with_policy(1, 9);
    for id in 1..=12 {
        world.submit(id, "a", chain(&[4, 3], 2000, 400));
        world.run(150);
    }
    world.run(8000);
    assert!((1..=12).all(|id| world.table.jobs[&id].state == JobState::Completed));
    assert_eq!(world.rejected_tickets, 0);
}

#[test]
fn permits_for_the_next_group_are_requested_in_advance() {
    let mut world = with_policy(2, 9);
    world.submit(1, "a", chain(&[4, 3], 2000, 400));
    let submitted = world.now;
    world.run(3000);
    let took = world.ended_at[&1] - submitted;
    // Only the first group waits for a query; the second already has its permits when it gets
    // ready.
    assert!(took <= 800 + 150, "{took} ms for 800 ms of work");
}

#[test]
fn expired_permits_are_requested_again() {
    let mut world = with_policy(3, 2);
    world.submit(1, "a", chain(&[16], 2000, 3000));
    world.submit(2, "a", chain(&[2], 2000, 500));
    world.run(12_000);
    assert!((1..=2).all(|id| world.table.jobs[&id].state == JobState::Completed));
    assert_eq!(world.rejected_tickets, 0);
}

#[test]
fn a_new_leader_queries_admission_again() {
    let mut world = with_policy(4, 6);
    world.submit(1, "a", chain(&[4, 3], 2000, 600));
    world.run(200);
    world.change_leader(true);
    world.run(4000);
    assert_eq!(world.table.jobs[&1].state, JobState::Completed);
    assert_eq!(world.rejected_tickets, 0);
}

#[test]
fn a_pool_whose_instances_are_all_denied_gets_other_machines() {
    let mut config = config(&["a", "b"]);
    config.queues.values_mut().for_each(|queue| queue.admission = Some(ADMISSION));
    let mut world = World::new(5, config);
    world.add_machine("m0", "a", "r0", 16_000);
    // Replace the machine until the policy denies its instance.
    while world.instances.keys().any(|incarnation| World::allows(&incarnation.name)) {
        let incarnation = world.instances.keys().next().unwrap().clone();
        world.instances.remove(&incarnation);
        world.crash(&incarnation, false);
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
