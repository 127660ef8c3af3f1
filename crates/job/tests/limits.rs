//! Tests of the limits of organisations. The world checks at every start that the organisation stays
//! within its limit, and at every tick that the leader counts exactly what is claimed.

mod world;

use {job::*, model::Resources, world::*};

/// A world with one pool of four machines with 16 processors each, and an organisation with the
/// given limit.
fn limited(seed: u64, millicores: u64) -> World {
    let mut config = config(&["a"]);
    config.organisations.insert("acme".into(), organisation(10, millicores));
    let mut world = World::new(seed, config);
    for i in 0..4 {
        world.add_machine(&format!("m{i}"), "a", &format!("r{i}"), 16_000);
    }
    world.run(200);
    world
}

fn submit(world: &mut World, id: JobId, spec: Spec) {
    world.submit_for(Some("acme"), id, "a", spec);
}

fn running(world: &World) -> u64 {
    world.runs_for(Some("acme")).millicores
}

fn counted(world: &World) -> u64 {
    world.scheduler.at_work(Some(&"acme".into())).millicores
}

/// Runs until every job has ended, and checks that nothing stays counted.
fn finish(world: &mut World, ms: u64) {
    world.run(ms);
    assert!(world.table.live.is_empty(), "jobs have not ended: {:?}", world.table.live);
    assert_eq!(world.scheduler.at_work(Some(&"acme".into())), Resources::default());
}

/// Guards against starts beyond the limit while there is room in the pool.
#[test]
fn an_organisation_uses_its_limit_and_no_more() {
    let mut world = limited(1, 10_000);
    for id in 1..=10 {
        submit(&mut world, id, chain(&[4], 2000, 800));
    }
    world.run(100);
    assert_eq!(running(&world), 10_000);
    finish(&mut world, 20_000);
}

/// Guards against a limit that applies to processors only.
#[test]
fn memory_and_accelerators_are_limited() {
    let mut world = limited(2, 0);
    let mut config = world.table.config.clone().expect("a configuration");
    let limit = Resources { millicores: 0, memory_mb: 250, accelerators: 0 };
    config.organisations.get_mut("acme").expect("an organisation").limit = limit;
    world.configure(config);
    submit(&mut world, 1, chain(&[10], 1000, 800));
    world.run(100);
    assert_eq!(running(&world), 2000, "two tasks of 100 MB fit");
    finish(&mut world, 10_000);
}

/// Guards against tasks that take no processor time from others and therefore go uncounted.
#[test]
fn best_effort_and_continuous_tasks_count_in_full() {
    let mut world = limited(3, 6000);
    let mut spec = chain(&[4, 4], 2000, 800);
    spec.groups[1].after.clear();
    spec.groups[0].continuous = true;
    spec.groups[1].best_effort = true;
    submit(&mut world, 1, spec);
    world.run(5000);
    assert_eq!(running(&world), 6000);
    world.cancel(1);
    finish(&mut world, 5000);
}

/// Guards against a limit applied to each pool by itself.
#[test]
fn the_limit_is_for_all_pools_together() {
    let mut config = config(&["a", "b"]);
    config.organisations.insert("acme".into(), organisation(10, 8000));
    let mut world = World::new(4, config);
    world.add_machine("m0", "a", "r0", 16_000);
    world.add_machine("m1", "b", "r0", 16_000);
    world.run(200);
    submit(&mut world, 1, chain(&[8], 1000, 800));
    world.submit_for(Some("acme"), 2, "b", chain(&[8], 1000, 800));
    world.run(100);
    assert_eq!(running(&world), 8000);
    finish(&mut world, 10_000);
}

/// Guards against stops of running tasks, and against starts before the usage is below the new
/// limit.
#[test]
fn a_lowered_limit_stops_nothing_and_starts_nothing_until_there_is_room() {
    let mut world = limited(5, 12_000);
    submit(&mut world, 1, chain(&[6], 2000, 2000));
    world.run(100);
    assert_eq!(running(&world), 12_000);
    world.set_limit("acme", 4000);
    submit(&mut world, 2, chain(&[6], 2000, 500));
    world.run(1500);
    assert_eq!(running(&world), 12_000, "nothing is stopped");
    assert_eq!(world.starts.len(), 6, "nothing starts");
    world.run(700);
    assert_eq!(running(&world), 4000, "the new limit is used");
    finish(&mut world, 10_000);
    assert_eq!(world.starts.len(), 12, "no task ran twice");
}

/// Guards against a raise that only takes effect at the next event of a job.
#[test]
fn a_raised_limit_takes_effect_at_once() {
    let mut world = limited(6, 2000);
    submit(&mut world, 1, chain(&[6], 2000, 2000));
    world.run(500);
    assert_eq!(running(&world), 2000);
    world.set_limit("acme", 12_000);
    world.run(100);
    assert_eq!(running(&world), 12_000);
    world.set_limit("acme", 0);
    submit(&mut world, 2, chain(&[6], 2000, 2000));
    world.run(100);
    assert_eq!(running(&world), 24_000, "0 is no limit");
    finish(&mut world, 10_000);
}

/// Guards against a leader that starts before it has counted what the former one claimed.
#[test]
fn a_new_leader_counts_claims_whose_start_was_not_sent() {
    for commit_batch in [true, false] {
        for wait in 0..40 {
            let mut world = limited(7, 8000);
            for id in 1..=6 {
                submit(&mut world, id, chain(&[4], 2000, 800));
            }
            // From before the proposal until after the start.
            world.run(wait);
            world.change_leader(commit_batch);
            world.run(1);
            let claimed = if commit_batch { counted(&world) } else { 0 };
            assert!(claimed <= 8000);
            finish(&mut world, 30_000);
        }
    }
}

/// Guards against an attempt that is no longer counted while its start may still be carried out.
#[test]
fn a_start_that_is_not_answered_counts_until_it_is_proven_gone() {
    let mut world = limited(8, 4000);
    world.faults.answer_lost = 1000;
    submit(&mut world, 1, chain(&[2], 2000, 1000));
    submit(&mut world, 2, chain(&[2], 2000, 1000));
    world.run(3000);
    assert!(counted(&world) >= running(&world));
    world.faults = FaultRates::default();
    finish(&mut world, 30_000);
}

/// Guards against starts that instances carry out long after the leader gave up on them.
#[test]
fn starts_carried_out_late_stay_within_the_limit() {
    for seed in 0..20 {
        let mut world = limited(100 + seed, 8000);
        world.faults.delayed = 400;
        for id in 1..=8 {
            submit(&mut world, id, chain(&[3, 2], 2000, 700));
            world.run(300);
        }
        if seed % 2 == 0 {
            world.change_leader(true);
        }
        world.run(15_000);
        world.faults = FaultRates::default();
        finish(&mut world, 60_000);
    }
}

/// Guards against an attempt that is no longer counted while it is being stopped.
#[test]
fn a_task_that_is_being_stopped_counts_until_its_end_is_committed() {
    let mut world = limited(9, 8000);
    submit(&mut world, 1, chain(&[4], 2000, 3000));
    world.run(200);
    submit(&mut world, 2, chain(&[4], 2000, 500));
    world.cancel(1);
    world.run(60);
    assert_eq!(running(&world), 8000, "the tasks take 100 ms to stop");
    assert_eq!(counted(&world), 8000);
    world.run(1500);
    assert_eq!(world.table.jobs[&2].state, JobState::Completed);
    finish(&mut world, 1000);
}

/// Guards against a count that stays when a claim is rejected after its instance was dropped.
#[test]
fn a_rejected_claim_of_a_lost_instance_is_not_counted_for_ever() {
    let mut world = limited(10, 8000);
    let first = world.instances.keys().next().expect("an instance").clone();
    for wait in 0..12 {
        let id = 1 + wait;
        submit(&mut world, id, chain(&[4], 2000, 200));
        world.run(wait);
        let incarnations: Vec<_> = world.instances.keys().cloned().collect();
        for incarnation in incarnations.iter().filter(|other| other.name == first.name) {
            world.crash(incarnation, true);
        }
        world.cancel(id);
        world.run(2000);
        assert_eq!(counted(&world), 0, "after {wait} ms");
    }
}

/// Guards against lost instances whose attempts are dropped from the count before they are gone.
#[test]
fn tasks_on_a_lost_instance_count_until_their_leases_are_over() {
    let mut world = limited(11, 8000);
    submit(&mut world, 1, chain(&[4], 2000, 20_000));
    world.run(200);
    let (_, _, _, incarnation) = world.starts[0].clone();
    world.disconnect(&incarnation, u64::MAX);
    submit(&mut world, 2, chain(&[4], 2000, 300));
    world.run(4000);
    assert_eq!(counted(&world), 8000, "the lease is not over");
    world.run(60_000);
    assert!(world.table.jobs.values().all(|record| record.state == JobState::Completed));
}

/// Guards against a gang that starts in part, or that is let in by the rule for single tasks.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = limited(12, 8000);
    submit(&mut world, 1, chain(&[2], 2000, 1000));
    world.run(100);
    let mut gang = chain(&[4], 2000, 500);
    gang.groups[0].gang = true;
    submit(&mut world, 2, gang);
    world.run(800);
    assert_eq!(running(&world), 4000, "the gang needs the whole limit");
    world.run(400);
    assert_eq!(running(&world), 8000);
    finish(&mut world, 5000);
    // After the limit was lowered, the gang exceeds it.
    let mut gang = chain(&[4], 2000, 500);
    gang.groups[0].gang = true;
    world.set_limit("acme", 6000);
    submit(&mut world, 3, gang);
    submit(&mut world, 4, chain(&[4], 2000, 500));
    world.run(10_000);
    assert_eq!(world.table.jobs[&4].state, JobState::Completed, "others go on");
    assert_eq!(world.table.jobs[&3].state, JobState::Queued);
    world.set_limit("acme", 8000);
    finish(&mut world, 5000);
}

/// Guards against an accepted job that can never end because the limit was lowered below the size
/// of its task.
#[test]
fn a_task_larger_than_the_limit_starts_alone() {
    let mut world = limited(13, 4000);
    submit(&mut world, 1, chain(&[2], 2000, 1000));
    world.run(100);
    submit(&mut world, 2, chain(&[2], 6000, 500));
    world.run(500);
    assert_eq!(running(&world), 4000);
    while world.table.jobs[&2].state == JobState::Queued {
        world.run(10);
    }
    world.run(100);
    assert_eq!(running(&world), 6000);
    submit(&mut world, 3, chain(&[1], 1000, 500));
    world.run(200);
    assert_eq!(running(&world), 6000, "nothing starts beside it");
    finish(&mut world, 10_000);
}

/// Guards against limits that hold back organisations without one, and jobs without an organisation.
#[test]
fn an_organisation_without_a_limit_uses_the_pool() {
    let mut world = limited(14, 0);
    submit(&mut world, 1, chain(&[16], 2000, 1000));
    world.submit(2, "a", chain(&[16], 2000, 1000));
    world.submit_for(Some("unknown"), 3, "a", chain(&[4], 2000, 1000));
    world.run(100);
    assert_eq!(world.starts.len(), 32);
    finish(&mut world, 10_000);
}

/// Guards against an effect of the limits when there are no organisations.
#[test]
fn without_organisations_nothing_is_limited() {
    let mut world = World::new(15, config(&["a"]));
    world.add_machine("m0", "a", "r0", 16_000);
    world.run(200);
    world.submit(1, "a", chain(&[8], 2000, 500));
    world.run(100);
    assert_eq!(world.starts.len(), 8);
    assert_eq!(world.scheduler.at_work(None).millicores, 16_000);
    world.run(2000);
    assert_eq!(world.scheduler.at_work(None), Resources::default());
}

/// Guards against a large task that waits for ever because a stream of small tasks keeps the usage
/// above zero.
#[test]
fn a_task_larger_than_the_limit_starts_in_spite_of_a_stream_of_small_ones() {
    let mut world = limited(16, 8000);
    let mut id = 2;
    let stream = |world: &mut World, id: &mut JobId| {
        submit(world, *id, chain(&[1], 1000, 1000));
        *id += 1;
        world.run(200);
    };
    for _ in 0..20 {
        stream(&mut world, &mut id);
    }
    submit(&mut world, 1, chain(&[2], 6000, 500));
    world.set_limit("acme", 4000);
    for _ in 0..100 {
        stream(&mut world, &mut id);
    }
    assert_eq!(world.table.jobs[&1].state, JobState::Completed);
    finish(&mut world, 20_000);
}
