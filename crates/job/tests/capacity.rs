//! Tests that instances whose capacity shrinks and grows, and which accept whatever they are told to
//! start, are not overcommitted. The world checks this at each start.

mod world;

use {job::*, model::Resources, std::time::Duration, world::*};

/// A world with machines in one pool whose instances do not check their capacity.
fn unguarded_pool(machines: usize) -> World {
    pool(machines, false)
}

/// A world with machines in one pool. `checks_room` tells whether instances reject what does not fit.
fn pool(machines: usize, checks_room: bool) -> World {
    let mut config = config(&["a"]);
    config.pools.get_mut("a").expect("a pool").checks_room = checks_room;
    // Idle machines stay, since they would come back with their full capacity.
    let parking_idle_time = Duration::from_secs(600);
    let mut world =
        World::with_bounds(1, config, Bounds { parking_idle_time, ..Bounds::default() });
    for i in 0..machines {
        world.add_machine(&format!("m{i}"), "a", "r0", 16_000);
    }
    world.run(200);
    world
}

fn set_capacity(world: &mut World, machine: &str, millicores: u64) {
    let now = world.now;
    let capacity = Resources { millicores, memory_mb: 128_000, accelerators: 0 };
    let on_machine = |instance: &&mut Instance| instance.alive && **instance.machine() == *machine;
    for instance in world.instances.values_mut().filter(on_machine) {
        instance.set_capacity(now, capacity);
    }
}

/// Submits a job of small tasks every 100 ms for `ms`.
fn submit_steadily(world: &mut World, first: JobId, ms: u64) -> JobId {
    let jobs = ms / 100;
    for id in first..first + jobs {
        world.submit(id, "a", chain(&[4], 2000, 400));
        world.run(100);
    }
    first + jobs
}

fn all_complete(world: &World) -> bool {
    world.table.jobs.values().all(|record| record.state == JobState::Completed)
}

#[test]
fn starts_stay_within_a_capacity_that_shrinks_and_grows() {
    let mut world = unguarded_pool(3);
    let mut next = 1;
    for (m0, m1) in [(4000, 16_000), (4000, 2000), (16_000, 2000), (0, 0), (16_000, 16_000)] {
        set_capacity(&mut world, "m0", m0);
        set_capacity(&mut world, "m1", m1);
        next = submit_steadily(&mut world, next, 8000);
    }
    world.run(30_000);
    assert!(all_complete(&world));
}

/// Guards against jobs that fail or wait because instances reject starts until they have announced
/// that they have shrunk.
#[test]
fn jobs_complete_while_instances_that_check_their_capacity_shrink() {
    let mut world = pool(4, true);
    let next = submit_steadily(&mut world, 1, 2000);
    for machine in ["m0", "m1"] {
        set_capacity(&mut world, machine, 9000);
    }
    submit_steadily(&mut world, next, 14_000);
    world.run(5000);
    assert!(all_complete(&world));
}

#[test]
fn a_new_leader_knows_a_capacity_that_has_shrunk() {
    let mut world = unguarded_pool(2);
    set_capacity(&mut world, "m0", 2000);
    let next = submit_steadily(&mut world, 1, 4000);
    world.change_leader(true);
    submit_steadily(&mut world, next, 6000);
    world.run(30_000);
    assert!(all_complete(&world));
}

#[test]
fn a_delayed_announcement_does_not_restore_a_capacity() {
    let mut world = unguarded_pool(1);
    let earlier = world.instances.values().next().expect("an instance").announcement.clone();
    set_capacity(&mut world, "m0", 2000);
    world.run(6000);
    for id in 1..20 {
        world.step(Event::Announced(earlier.clone()));
        world.submit(id, "a", chain(&[4], 2000, 400));
        world.run(50);
    }
    world.run(60_000);
    assert!(all_complete(&world));
}

#[test]
fn a_task_larger_than_what_is_left_waits_and_holds_up_no_other() {
    let mut world = unguarded_pool(2);
    set_capacity(&mut world, "m0", 4000);
    set_capacity(&mut world, "m1", 4000);
    world.run(6000);
    world.submit(1, "a", chain(&[1], 12_000, 400));
    submit_steadily(&mut world, 2, 3000);
    world.run(20_000);
    assert_eq!(world.table.jobs[&1].state, JobState::Queued);
    let unfinished = world.table.jobs.iter().filter(|(_, record)| !record.state.is_terminal());
    assert_eq!(unfinished.map(|(id, _)| *id).collect::<Vec<_>>(), [1]);
    set_capacity(&mut world, "m1", 16_000);
    world.run(6000);
    assert!(all_complete(&world));
}

#[test]
fn what_is_being_stopped_still_counts() {
    let mut world = unguarded_pool(1);
    for round in 0..20 {
        world.submit(2 * round + 1, "a", chain(&[8], 2000, 3000));
        world.run(300);
        world.cancel(2 * round + 1);
        world.submit(2 * round + 2, "a", chain(&[8], 2000, 100));
        world.run(400);
    }
    world.run(10_000);
    let unfinished = world.table.jobs.iter().filter(|(_, record)| !record.state.is_terminal());
    assert_eq!(unfinished.map(|(id, _)| *id).collect::<Vec<_>>(), []);
}
