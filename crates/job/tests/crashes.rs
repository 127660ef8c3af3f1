//! Tests of tasks that crash the instances that run them, and of those that only ran beside them.

mod world;

use {job::*, world::*};

/// A world with machines in one pool, on two racks.
fn one_pool(machines: usize) -> World {
    let mut world = World::new(1, config(&["a"]));
    for i in 0..machines {
        world.add_machine(&format!("m{i}"), "a", &format!("r{}", i % 2), 16_000);
    }
    world.run(200);
    world
}

fn first_task(job: JobId) -> TaskId {
    TaskId { job, round: 0, group: 0, index: 0 }
}

fn state(world: &World, id: JobId) -> JobState {
    world.table.jobs[&id].state
}

#[test]
fn a_task_that_crashes_its_instances_is_given_up() {
    let mut world = one_pool(4);
    world.deadly.insert(first_task(7), 10);
    world.submit(7, "a", chain(&[3], 2000, 500));
    for id in 8..12 {
        world.submit(id, "a", chain(&[2, 2], 1000, 500));
    }
    // The world checks the number of starts.
    world.run(60_000);
    assert_eq!(state(&world, 7), JobState::Failed);
    for id in 8..12 {
        assert_eq!(state(&world, id), JobState::Completed, "job {id}");
    }
}

#[test]
fn evidence_against_a_task_survives_changes_of_leader() {
    for lost in [false, true] {
        let mut world = one_pool(4);
        world.deadly.insert(first_task(7), 10);
        world.submit(7, "a", chain(&[3], 2000, 500));
        let mut seen = 0;
        for _ in 0..6000 {
            world.run(10);
            let crashes = world.crashes_under(first_task(7));
            if crashes > seen {
                seen = crashes;
                world.change_leader(!lost);
            }
        }
        assert_eq!(state(&world, 7), JobState::Failed, "batches lost: {lost}");
    }
}

#[test]
fn a_task_that_crashes_its_instances_before_they_answer_is_given_up() {
    let mut world = one_pool(4);
    world.deadly.insert(first_task(7), 0);
    world.submit(7, "a", chain(&[1], 2000, 500));
    world.run(60_000);
    assert_eq!(state(&world, 7), JobState::Failed);
}

#[test]
fn a_task_that_crashes_its_instances_late_is_given_up() {
    let mut world = one_pool(4);
    world.deadly.insert(first_task(7), 4000);
    world.submit(7, "a", chain(&[1], 2000, 6000));
    for id in 8..200 {
        world.submit(id, "a", chain(&[2], 2000, 300));
        world.run(300);
    }
    world.run(20_000);
    assert_eq!(state(&world, 7), JobState::Failed);
}

#[test]
fn a_gang_with_a_task_that_crashes_its_instance_is_given_up() {
    let mut world = one_pool(6);
    let mut gang = chain(&[4], 6000, 500);
    gang.groups[0].gang = true;
    // The simulated gang is done as soon as one of its tasks is.
    for index in 0..4 {
        world.deadly.insert(TaskId { index, ..first_task(7) }, 10);
    }
    world.submit(7, "a", gang);
    world.run(60_000);
    assert_eq!(state(&world, 7), JobState::Failed);
}

#[test]
fn jobs_beside_deadly_tasks_complete() {
    let mut world = one_pool(12);
    let deadly: Vec<JobId> = (1..=60).filter(|id| id % 10 == 0).collect();
    for id in 1..=60 {
        if deadly.contains(&id) {
            world.deadly.insert(first_task(id), 10);
        }
        world.submit(id, "a", chain(&[3, 2], 1500, 400));
        world.run(50);
    }
    world.run(60_000);
    for id in 1..=60 {
        let expected = if deadly.contains(&id) { JobState::Failed } else { JobState::Completed };
        assert_eq!(state(&world, id), expected, "job {id}");
    }
}

#[test]
fn a_suspect_runs_where_no_other_job_does() {
    let mut world = one_pool(4);
    world.deadly.insert(first_task(7), 10);
    for id in 1..=40 {
        world.submit(id, "a", chain(&[2], 1000, 400));
        world.run(100);
        if id == 5 {
            world.submit(7 + 100, "a", chain(&[1], 1000, 400));
        }
    }
    world.run(5000);
    let starts: Vec<_> =
        world.starts.iter().filter(|(_, task, number, _)| task.job == 7 && *number > 1).collect();
    assert!(!starts.is_empty());
    for (at, task, _, incarnation) in starts {
        let beside = world.starts.iter().filter(|(other_at, other, _, on)| {
            on == incarnation && other.job != task.job && *other_at + 400 > *at
        });
        assert_eq!(beside.count(), 0, "{task} starts at {at} beside others");
    }
}

#[test]
fn a_rack_that_loses_power_twice_ends_no_job() {
    let mut world = one_pool(8);
    for id in 1..=20 {
        world.submit(id, "a", chain(&[4], 1500, 2500));
    }
    world.run(800);
    world.lose_rack("r0");
    world.run(4000);
    world.lose_rack("r0");
    world.run(60_000);
    for id in 1..=20 {
        assert_eq!(state(&world, id), JobState::Completed, "job {id}");
    }
}

fn running_tasks(world: &World, job: JobId) -> usize {
    let alive = world.instances.values().filter(|instance| instance.alive);
    alive.flat_map(|instance| instance.running.keys()).filter(|task| task.job == job).count()
}

#[test]
fn continuous_tasks_beside_deadly_ones_are_kept() {
    let mut world = one_pool(12);
    world.submit_continuous(1000, 6);
    world.run(5000);
    for id in 1..=80 {
        if id % 10 == 0 {
            world.deadly.insert(first_task(id), 10);
        }
        world.submit(id, "a", chain(&[3], 1500, 400));
        world.run(200);
    }
    world.run(20_000);
    assert_eq!(state(&world, 1000), JobState::Running);
    assert_eq!(running_tasks(&world, 1000), 6);
}

#[test]
fn a_continuous_job_that_is_given_up_keeps_its_budget_until_it_is_cancelled() {
    let mut world = one_pool(4);
    world.deadly.insert(first_task(7), 10);
    world.submit_continuous(7, 3);
    // The world checks that no stop exceeds the budget.
    world.run(40_000);
    assert_eq!(state(&world, 7), JobState::Failed);
    assert_eq!(running_tasks(&world, 7), 2);
    world.change_leader(true);
    world.run(10_000);
    assert_eq!(running_tasks(&world, 7), 2);
    world.cancel(7);
    world.run(3000);
    assert_eq!(running_tasks(&world, 7), 0);
}

#[test]
fn suspects_run_beside_continuous_tasks_if_every_instance_has_some() {
    let mut world = one_pool(3);
    world.submit_continuous(1000, 3);
    world.run(5000);
    world.submit(7, "a", chain(&[2], 2000, 1500));
    world.run(300);
    let (_, _, _, incarnation) =
        world.starts.iter().find(|(_, task, ..)| task.job == 7).expect("the job starts").clone();
    world.lose_power(&incarnation);
    world.run(15_000);
    assert_eq!(state(&world, 7), JobState::Completed);
}

#[test]
fn instances_that_are_taken_away_are_no_evidence() {
    let mut world = one_pool(4);
    world.submit_continuous(1000, 3);
    world.submit(7, "a", chain(&[8], 2000, 3000));
    world.run(500);
    world.start_wave(1, &["m0", "m1", "m2", "m3"], 1);
    world.run(60_000);
    assert!(world.table.waves[&1].is_complete());
    assert_eq!(state(&world, 7), JobState::Completed);
    let tasks = (0..3).map(|index| TaskId { index, ..first_task(1000) });
    let crashes = tasks.map(|task| world.table.jobs[&1000].task_state(task).unwrap().crashes);
    assert_eq!(crashes.collect::<Vec<_>>(), [Crashes::default(); 3]);
}

/// Instances on which tasks of a job run.
fn instances_of(world: &World, job: JobId) -> Vec<Incarnation> {
    let alive = world.instances.iter().filter(|(_, instance)| instance.alive);
    let runs = |instance: &Instance| instance.running.keys().any(|task| task.job == job);
    alive.filter(|(_, i)| runs(i)).map(|(incarnation, _)| incarnation.clone()).collect()
}

/// Disconnects all instances on which a job runs, for longer than their leases, `cuts` times.
fn cut_off_repeatedly(world: &mut World, job: JobId, cuts: usize) {
    for _ in 0..cuts {
        for incarnation in instances_of(world, job) {
            let until = world.now + 8000;
            world.disconnect(&incarnation, until);
        }
        world.run(9000);
    }
}

#[test]
fn a_continuous_job_on_instances_that_are_cut_off_is_not_failed() {
    let mut world = one_pool(6);
    world.submit_continuous(7, 3);
    world.run(3000);
    cut_off_repeatedly(&mut world, 7, 8);
    world.run(9000);
    assert_eq!(state(&world, 7), JobState::Running);
    assert_eq!(running_tasks(&world, 7), 3);
}

#[test]
fn a_job_on_instances_that_are_cut_off_is_not_failed() {
    let mut world = one_pool(6);
    world.submit(7, "a", chain(&[3], 2000, 20_000));
    world.run(3000);
    cut_off_repeatedly(&mut world, 7, 8);
    world.run(60_000);
    assert_eq!(state(&world, 7), JobState::Completed);
}

#[test]
fn a_continuous_job_survives_crashes_of_the_instances_it_works_on() {
    let mut world = one_pool(9);
    world.submit_continuous(7, 1);
    for _ in 0..12 {
        world.run(5000);
        let [incarnation] = instances_of(&world, 7).try_into().expect("its task runs");
        world.lose_power(&incarnation);
    }
    world.run(5000);
    assert_eq!(state(&world, 7), JobState::Running);
    assert_eq!(running_tasks(&world, 7), 1);
}

#[test]
fn a_continuous_task_that_crashes_its_instances_before_they_answer_is_given_up() {
    let mut world = one_pool(4);
    world.deadly.insert(first_task(7), 0);
    world.submit_continuous(7, 1);
    // The world checks the number of starts.
    world.run(60_000);
    assert_eq!(state(&world, 7), JobState::Failed);
}
