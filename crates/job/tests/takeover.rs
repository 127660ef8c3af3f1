//! Tests of what a new leader may order before it knows what the former one did.

mod world;

use {job::*, world::*};

/// A world with machines in one pool, each on a rack of its own.
fn one_pool(machines: usize) -> World {
    let mut world = World::new(1, config(&["a"]));
    for i in 0..machines {
        world.add_machine(&format!("m{i}"), "a", &format!("r{i}"), 16_000);
    }
    world.run(200);
    world
}

#[test]
fn no_task_starts_on_a_machine_that_a_former_leader_ordered_away() {
    let mut world = one_pool(3);
    world.submit_continuous(6, 2);
    world.run(3300);
    world.order_delay_ms = 2000;
    world.start_wave(1, &["m0", "m1", "m2"], 1);
    world.run(100);
    assert_eq!(world.table.orders.len(), 1, "the order is committed and on its way");
    // The new leader hears from all instances before its first tick.
    world.run(1);
    world.change_leader(true);
    world.submit_continuous(7, 3);
    // The world checks that the order ends no tasks.
    world.run(30_000);
    assert!(world.table.waves[&1].is_complete(), "the wave goes on under the new leader");
}

#[test]
fn a_new_leader_waits_for_stops_of_the_former_one_before_it_stops_others() {
    let mut world = one_pool(5);
    world.submit_continuous(7, 3);
    world.run(2000);
    let machine_of = |world: &World, index: u16| {
        let start = world.starts.iter().find(|(_, task, _, _)| task.index == index);
        let (_, _, _, incarnation) = start.expect("the task has started");
        world.instances[incarnation].machine().clone()
    };
    let (first, second) = (machine_of(&world, 0), machine_of(&world, 1));
    world.start_wave(2, &[&second], 1);
    while !is_stopping(&world) {
        world.run(1);
    }
    world.start_wave(1, &[&first], 1);
    // The world checks that each stop leaves enough tasks of the group at work.
    world.change_leader(true);
    world.run(30_000);
    assert!(world.table.waves.values().all(Wave::is_complete), "the waves go on");
}

/// Whether an instance is stopping a task.
fn is_stopping(world: &World) -> bool {
    let mut runs = world.instances.values().flat_map(|instance| instance.running.values());
    runs.any(|run| run.stopping.is_some())
}

#[test]
fn a_task_whose_start_was_carried_out_late_is_kept() {
    let mut world = one_pool(3);
    world.submit_continuous(7, 1);
    world.delay_ms = 400;
    world.run(60);
    world.delay_ms = 2;
    while !world.notes.iter().any(|note| note.what == "start-unanswered") {
        world.run(1);
    }
    world.run(3);
    // The stop that follows the report without the task is lost.
    world.faults = FaultRates { stop_lost: 1000, ..FaultRates::default() };
    world.run(200);
    world.faults = FaultRates::default();
    world.run(5000);
    assert_eq!(world.starts.len(), 1, "{:?}", world.starts);
}

/// Lets the only pool ask for machines of the spare pool, and returns when the new leader first moves
/// one, after the former leader moved others.
fn first_move_after(change_leader: impl Fn(&mut World)) -> u64 {
    let mut world = World::new(1, config(&["a"]));
    for i in 0..12 {
        world.add_machine(&format!("m{i}"), if i < 2 { "a" } else { "spare" }, "r0", 16_000);
    }
    world.run(3500);
    world.submit(1, "a", chain(&[4], 8000, 1500));
    world.run(300);
    assert!(world.moves > 0, "the former leader moves machines");
    change_leader(&mut world);
    let (changed, moves) = (world.now, world.moves);
    world.submit(2, "a", chain(&[12], 16_000, 1500));
    while world.moves == moves {
        world.run(10);
    }
    world.now - changed
}

#[test]
fn a_new_leader_orders_machines_at_once_if_the_former_one_has_restarted() {
    let wait = first_move_after(|world| {
        world.forget_orders();
        world.restart_leader(true);
    });
    assert!(wait <= 300, "first order after {wait} ms");
}

#[test]
fn a_new_leader_waits_its_turn_if_the_former_one_may_go_on() {
    let wait = first_move_after(|world| {
        world.forget_orders();
        world.change_leader(true);
    });
    assert!(wait >= 2900, "first order after {wait} ms");
}
