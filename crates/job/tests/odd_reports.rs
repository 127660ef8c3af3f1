//! Tests that reports with values that no true instance gives do no harm beyond the attempt that
//! they are about.

mod world;

use {job::*, std::time::Duration, world::*};

/// Speeds requested for the best-effort task beside a task with this latency target, after an
/// instance has reported `gauge` for both.
fn speeds(latency_target: Duration, gauge: u32) -> Vec<u8> {
    let mut world = World::new(1, config(&["a"]));
    world.add_machine("m0", "a", "r0", 16_000);
    world.run(200);
    let mut spec = chain(&[1, 1], 2000, 500);
    spec.groups[0].continuous = true;
    spec.groups[0].latency_target = Some(latency_target);
    spec.groups[1].continuous = true;
    spec.groups[1].best_effort = true;
    spec.groups[1].after.clear();
    world.submit(7, "a", spec);
    world.run(2000);
    assert_eq!(world.runs_for(None).millicores, 4000, "both tasks run");
    for instance in world.instances.values_mut() {
        instance.gauge = gauge;
    }
    world.run(5000);
    world.instances.values().flat_map(|instance| instance.speeds.values().copied()).collect()
}

/// Guards against an overflow in the share of the latency target.
#[test]
fn a_latency_of_any_size_pauses_best_effort_tasks() {
    for latency in [1000, u32::MAX / 100 + 1, u32::MAX] {
        assert_eq!(speeds(Duration::from_millis(40), latency), [0], "{latency}");
    }
}

/// Guards against a target that is cut to 32 bits, where it may be zero.
#[test]
fn a_long_latency_target_is_not_taken_for_a_short_one() {
    assert_eq!(speeds(Duration::from_millis(1 << 32), 10), []);
}

/// Guards against a stop of a run that was never started, after which its instance refuses all starts
/// of the task.
#[test]
fn a_row_with_a_run_that_was_never_started_keeps_no_task_from_its_instance() {
    let mut world = World::new(1, config(&["a"]));
    world.add_machine("m0", "a", "r0", 16_000);
    world.add_machine("m1", "a", "r1", 16_000);
    world.run(200);
    world.submit_continuous(7, 1);
    world.submit_continuous(8, 2);
    world.run(2000);
    let task = TaskId { job: 7, round: 0, group: 0, index: 0 };
    let runs = |world: &World| {
        let runs = world.instances.values().filter(|i| i.running.contains_key(&task));
        runs.map(|instance| instance.announcement.incarnation.clone()).collect::<Vec<_>>()
    };
    let [home] = &runs(&world)[..] else { panic!("{:?}", runs(&world)) };
    for (incarnation, instance) in &mut world.instances {
        if incarnation != home {
            let (number, percent) = (AttemptNumber::MAX, 100);
            let row = RunningAttempt { task, number, checkpoint: None, percent, gauge: 0 };
            instance.odd_rows.push(row);
        }
    }
    world.run(3000);
    let home = home.clone();
    world.crash(&home, false);
    world.run(15_000);
    assert_eq!(runs(&world).len(), 1, "the task runs again on the other instance");
}
