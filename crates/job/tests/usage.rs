//! What organisations use, as the scheduler reports it.

mod world;

use {job::*, model::Resources, std::time::Duration, world::*};

fn submit_as(world: &mut World, id: JobId, spec: Spec, organisation: &str) {
    world.submit_for(Some(organisation), id, "a", spec);
}

fn used(world: &World, organisation: &str) -> u64 {
    let usage = world.scheduler.usage_by_organisation();
    usage.get(organisation).map_or(0, |used| used.millicores)
}

/// Guards against attempts that are counted for nobody, for the wrong organisation or after their end,
/// and against a new leader that starts with no usage.
#[test]
fn usage_is_the_sum_of_the_attempts_of_an_organisation() {
    let organisation = Organisation { weight: 100, ..Default::default() };
    let mut configuration = config(&["a"]);
    for name in ["x", "y"] {
        configuration.organisations.insert(name.into(), organisation.clone());
    }
    let mut world = World::new(1, configuration);
    for i in 0..2 {
        world.add_machine(&format!("m{i}"), "a", "r0", 16_000);
    }
    world.run(200);
    let capacity = world.scheduler.usable_capacity(Duration::from_millis(world.now));
    assert_eq!(capacity.millicores, 32_000);
    submit_as(&mut world, 1, chain(&[4], 2000, 1000), "x");
    submit_as(&mut world, 2, chain(&[1], 3000, 1000), "y");
    let mut best_effort = chain(&[1], 500, 1000);
    best_effort.groups[0].best_effort = true;
    submit_as(&mut world, 3, best_effort, "y");
    world.submit(4, "a", chain(&[1], 1000, 1000));
    world.run(400);
    assert_eq!((used(&world, "x"), used(&world, "y")), (8000, 3500));
    let usage = world.scheduler.usage_by_organisation();
    assert_eq!(usage.len(), 2, "a job of nobody is not counted: {usage:?}");
    assert!(usage["x"] != Resources::default());
    world.change_leader(true);
    assert_eq!((used(&world, "x"), used(&world, "y")), (8000, 3500), "claims tell a new leader");
    world.cancel(3);
    world.run(5000);
    assert_eq!((used(&world, "x"), used(&world, "y")), (0, 0));
}
