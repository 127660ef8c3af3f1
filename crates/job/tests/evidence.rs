//! Tests of evidence against tasks: what is a coincidence or unknown ends no job, and deadly tasks are
//! started a limited number of times.

mod world;

use {job::*, world::*};

fn first_task(job: JobId) -> TaskId {
    TaskId { job, round: 0, group: 0, index: 0 }
}

fn state(world: &World, id: JobId) -> JobState {
    world.table.jobs[&id].state
}

fn instances_of(world: &World, job: JobId) -> Vec<Incarnation> {
    let alive = world.instances.iter().filter(|(_, instance)| instance.alive);
    let runs = |instance: &Instance| instance.running.keys().any(|task| task.job == job);
    alive.filter(|(_, i)| runs(i)).map(|(incarnation, _)| incarnation.clone()).collect()
}

fn continuous(count: u16) -> Spec {
    let mut spec = chain(&[count], 2000, 500);
    spec.groups[0].continuous = true;
    spec
}

/// Submits a small job every 100 ms.
fn run_beside_load(world: &mut World, ms: u64) {
    let first = 10_000 + world.now;
    for id in first..first + ms / 100 {
        world.submit(id, "a", chain(&[2], 1000, 300));
        world.run(100);
    }
}

#[test]
fn a_continuous_job_survives_crashes_soon_after_changes_of_leader() {
    let mut world = World::one_pool(1, 9);
    world.submit_continuous(7, 1);
    for _ in 0..4 {
        world.run(20_000);
        assert_eq!(state(&world, 7), JobState::Running);
        let [incarnation] = instances_of(&world, 7).try_into().expect("its task runs");
        world.change_leader(true);
        world.run(150);
        world.lose_power(&incarnation);
    }
    world.run(5000);
    assert_eq!(state(&world, 7), JobState::Running);
}

#[test]
fn a_job_on_silent_instances_is_not_failed_while_the_list_is_unavailable() {
    let mut world = World::one_pool(1, 8);
    world.submit(7, "a", chain(&[1], 2000, 300_000));
    world.run(3000);
    world.list_unavailable = true;
    for _ in 0..8 {
        for incarnation in instances_of(&world, 7) {
            let until = world.now + 8500;
            world.disconnect(&incarnation, until);
        }
        world.restart_members();
        world.run(9500);
    }
    assert_eq!(world.crashes_under(first_task(7)), 0);
    world.run(9500);
    assert_eq!(state(&world, 7), JobState::Running);
    assert_eq!(instances_of(&world, 7).len(), 1, "nothing runs");
}

#[test]
fn avoided_instances_do_not_keep_a_continuous_job_waiting() {
    let mut world = World::one_pool(1, 6);
    for instance in world.instances.values_mut() {
        instance.fails = true;
    }
    for id in 100..220 {
        world.submit(id, "a", chain(&[1], 1000, 100));
        world.run(100);
    }
    world.run(1000);
    for instance in world.instances.values_mut() {
        instance.fails = false;
    }
    let avoided = world.notes.iter().filter(|note| note.what == "instance-avoided");
    assert!(avoided.count() > 6);
    world.submit_continuous(7, 1);
    world.run(6000);
    assert_eq!(instances_of(&world, 7).len(), 1, "nothing runs");
}

#[test]
fn a_job_whose_tasks_are_done_is_not_failed_by_a_lower_limit_of_attempts() {
    let mut world = World::one_pool(1, 3);
    world.submit(7, "a", chain(&[1], 1000, 500));
    for instance in world.instances.values_mut() {
        instance.fails = true;
    }
    while world.table.jobs[&7].task_state(first_task(7)).unwrap().failed < 2 {
        world.run(20);
    }
    for instance in world.instances.values_mut() {
        instance.fails = false;
    }
    while instances_of(&world, 7).is_empty() {
        world.run(5);
    }
    let mut config = world.table.config.clone().unwrap();
    config.version += 1;
    config.queues.get_mut("a").unwrap().max_attempts = 2;
    world.table.apply(Command::Configure(config));
    world.run(5000);
    assert_eq!(state(&world, 7), JobState::Completed);
}

/// Runs deadly jobs, beside small ones if `load`; the world checks the number of starts.
fn run_deadly(world: &mut World, jobs: u64, after_ms: u64, spec: &Spec, load: bool) {
    if load {
        run_beside_load(world, 2000);
    }
    for id in 1..=jobs {
        world.deadly.insert(first_task(id), after_ms);
        world.submit(id, "a", spec.clone());
    }
    if load {
        run_beside_load(world, 60_000);
    } else {
        world.run(60_000);
    }
    for id in 1..=jobs {
        assert_eq!(state(world, id), JobState::Failed, "job {id}");
    }
}

#[test]
fn deadly_tasks_on_instances_that_restart_under_their_names_are_given_up() {
    for after_ms in [0, 10, 300, 900] {
        let mut world = World::one_pool(3, 8);
        world.restarts_after_crash = true;
        run_deadly(&mut world, 4, after_ms, &chain(&[1], 2000, 2000), false);
    }
}

#[test]
fn deadly_continuous_tasks_on_instances_that_restart_under_their_names_are_given_up() {
    for after_ms in [0, 10, 300, 900] {
        let mut world = World::one_pool(3, 8);
        world.restarts_after_crash = true;
        run_deadly(&mut world, 4, after_ms, &continuous(1), false);
    }
}

#[test]
fn a_deadly_task_is_given_up_while_the_list_is_unavailable() {
    for after_ms in [0, 10, 300, 900] {
        let mut world = World::one_pool(3, 8);
        world.list_unavailable = true;
        run_deadly(&mut world, 1, after_ms, &chain(&[1], 2000, 2000), true);
    }
}

#[test]
fn a_deadly_continuous_task_is_given_up_while_the_list_is_unavailable() {
    for after_ms in [0, 10, 300, 900] {
        let mut world = World::one_pool(3, 8);
        world.list_unavailable = true;
        run_deadly(&mut world, 1, after_ms, &continuous(1), false);
    }
}

#[test]
fn a_continuous_task_that_crashes_its_instances_within_a_second_beside_others_is_given_up() {
    for after_ms in [300, 900] {
        let mut world = World::one_pool(3, 8);
        run_deadly(&mut world, 1, after_ms, &continuous(1), true);
    }
}

/// Crashes the instance to which an attempt at the first task of a job was sent, before the start
/// arrives there.
fn crash_before_start_arrives(world: &mut World, job: JobId, number: AttemptNumber) {
    for _ in 0..20_000 {
        world.run(1);
        let task_state = world.table.jobs[&job].task_state(first_task(job)).expect("a task");
        if let Phase::Claimed(incarnation) = &task_state.phase
            && task_state.number == number
        {
            let incarnation = incarnation.clone();
            return world.lose_power(&incarnation);
        }
    }
}

#[test]
fn a_continuous_job_whose_starts_never_arrived_is_not_failed() {
    let mut world = World::one_pool(1, 9);
    world.delay_ms = 20;
    world.submit_continuous(7, 1);
    for number in 1..=3 {
        crash_before_start_arrives(&mut world, 7, number);
        assert_eq!(world.crashes_under(first_task(7)), 0);
    }
    world.run(5000);
    assert_eq!(state(&world, 7), JobState::Running);
}

#[test]
fn a_rack_that_loses_power_and_restarts_under_its_names_ends_no_continuous_job() {
    let mut world = World::one_pool(1, 8);
    world.submit_continuous(7, 3);
    for _ in 0..4 {
        world.run(400);
        let on_rack = |i: &Instance| i.announcement.rack().is_some_and(|rack| **rack == *"r0");
        let rack = world.instances.iter().filter(|(_, i)| i.alive && on_rack(i));
        let rack: Vec<_> = rack.map(|(incarnation, _)| incarnation.clone()).collect();
        let later: Vec<_> =
            rack.iter().filter_map(|incarnation| world.restart(incarnation)).collect();
        world.run(600);
        for incarnation in later {
            world.announce(&incarnation);
        }
    }
    world.run(9000);
    assert_eq!(state(&world, 7), JobState::Running);
}

#[test]
fn a_clock_that_was_ahead_does_not_keep_a_suspect_waiting() {
    let mut world = World::one_pool(1, 3);
    world.submit_continuous(1000, 3);
    world.run(5000);
    world.clock_ahead_ms = 60_000;
    world.submit_continuous(7, 1);
    world.run(400);
    let [incarnation] = instances_of(&world, 7).try_into().expect("its task runs");
    world.lose_power(&incarnation);
    world.run(600);
    world.clock_ahead_ms = 0;
    world.change_leader(true);
    world.run(8000);
    assert_eq!(instances_of(&world, 7).len(), 1, "nothing runs");
}
