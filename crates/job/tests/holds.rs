//! Tests of what operators learn about starts that are held back.

mod world;

use {job::*, std::time::Duration, world::*};

/// A world with one pool of two machines with 16 processors each, and organisations `x` and `y`.
/// `x` has the given limit.
fn one_pool(millicores: u64) -> World {
    let mut config = config(&["a"]);
    config.queues.get_mut("a").expect("a queue").slack = Duration::from_secs(600);
    config.organisations.insert("x".into(), organisation(10, millicores));
    config.organisations.insert("y".into(), organisation(10, 0));
    let mut world = World::new(1, config);
    for i in 0..2 {
        world.add_machine(&format!("m{i}"), "a", &format!("r{i}"), 16_000);
    }
    world.run(300);
    world
}

fn lines(world: &World) -> Vec<(String, String)> {
    let held = world.notes.iter().filter(|note| note.what == "starts-held");
    held.map(|note| (note.about.clone(), note.why.clone())).collect()
}

fn reason(world: &World, job: JobId) -> Option<HoldReason> {
    world.scheduler.hold_reason(&world.table, job)
}

/// Guards against starts that are held back by a limit without a trace, and against a line for each
/// planning pass.
#[test]
fn starts_held_by_a_limit_are_logged_once_a_second() {
    let mut world = one_pool(8000);
    world.submit_for(Some("x"), 1, "a", chain(&[10], 2000, 4000));
    world.submit_for(Some("y"), 2, "a", chain(&[2], 2000, 4000));
    world.run(100);
    assert_eq!(reason(&world, 1), Some(HoldReason::Limit));
    assert_eq!(reason(&world, 2), None, "all of its tasks have started");
    world.run(2900);
    let lines = lines(&world);
    let why = "6 tasks wait for the limit, 0 for the shares of others; limit 8000m processors, 0 MB, \
               0 accelerators (0 is none), at work 8000m processors, 400 MB, 0 accelerators, \
               configuration 1";
    assert!((2..=3).contains(&lines.len()), "{lines:?}");
    assert!(lines.iter().all(|line| *line == ("x".into(), why.into())), "{lines:?}");
    world.set_limit("x", 0);
    world.run(100);
    assert_eq!(reason(&world, 1), None);
}

/// Guards against a gang that waits for ever without a reason.
#[test]
fn a_gang_over_the_limit_is_named() {
    let mut world = one_pool(8000);
    let mut gang = chain(&[5], 2000, 1000);
    gang.groups[0].gang = true;
    world.submit_for(Some("x"), 1, "a", gang);
    world.run(500);
    assert_eq!(reason(&world, 1), Some(HoldReason::GangOverLimit));
    let lines = lines(&world);
    let why = "gang 0000000000000001.0.0 exceeds the limit and waits until it is raised";
    assert!(lines.len() == 1 && lines[0].1.ends_with(why), "{lines:?}");
}

/// Guards against a full pool that is reported as a matter of shares, and the reverse.
#[test]
fn room_and_shares_are_told_apart() {
    let mut world = one_pool(0);
    world.submit_for(Some("x"), 1, "a", chain(&[16], 2000, 4000));
    world.run(100);
    world.submit_for(Some("x"), 2, "a", chain(&[4], 2000, 1000));
    world.run(100);
    assert_eq!(reason(&world, 2), Some(HoldReason::Room), "nobody else waits");
    assert!(lines(&world).is_empty(), "a full pool alone is not logged");
    world.submit_for(Some("y"), 3, "a", chain(&[4], 2000, 1000));
    world.run(300);
    assert_eq!(reason(&world, 2), Some(HoldReason::Share));
    assert_eq!(reason(&world, 3), Some(HoldReason::Room));
    let lines = lines(&world);
    assert!(lines.len() == 1 && lines[0].0 == "x", "{lines:?}");
    assert!(lines[0].1.contains("4 for the shares of others"), "{lines:?}");
}

/// Guards against an effect without organisations, and against reasons of a job that has ended.
#[test]
fn jobs_without_organisations_wait_for_room() {
    let mut world = World::new(1, config(&["a"]));
    world.add_machine("m0", "a", "r0", 16_000);
    world.run(300);
    world.submit(1, "a", chain(&[16], 1000, 1000));
    world.submit(2, "a", chain(&[1], 2000, 1000));
    world.run(100);
    assert_eq!(reason(&world, 1), None);
    assert_eq!(reason(&world, 2), Some(HoldReason::Room));
    assert_eq!(reason(&world, 3), None, "there is no such job");
    world.run(5000);
    assert_eq!(reason(&world, 2), None);
    assert!(lines(&world).is_empty());
}
