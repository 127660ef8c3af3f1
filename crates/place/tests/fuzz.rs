//! Stateful fuzzing of placement: whole racks lost at once, changes of leader, calls, answers and
//! commands that are delayed, duplicated or lost, and cancellations in bulk and ahead of their
//! submissions.
//!
//! `PLACE_FUZZ_STEPS` sets the total number of steps, `PLACE_FUZZ_SEED` the seed.

mod world;

use {
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::env,
    world::{JOBS, Step, WORKERS, World},
};

/// Steps of one history, that is, one test case.
const STEPS_PER_HISTORY: usize = 100;

/// Total number of steps unless `PLACE_FUZZ_STEPS` is set, as in CI.
const DEFAULT_TOTAL_STEPS: u64 = 20_000;

/// Seed unless `PLACE_FUZZ_SEED` is set, as in CI.
const DEFAULT_SEED: u64 = 1;

fn step() -> impl Strategy<Value = Step> {
    let worker = 0..WORKERS;
    prop_oneof![
        8 => (0..JOBS, any::<u8>()).prop_map(|(job, kind)| Step::Submit { job, kind }),
        2 => (0..JOBS, 1..8u8).prop_map(|(from, count)| Step::Cancel { from, count }),
        10 => (1..60u8).prop_map(|ticks| Step::Wait { ticks }),
        1 => (0..WORKERS / 2).prop_map(|rack| Step::LoseRack { rack }),
        1 => Just(Step::Restore),
        1 => worker.prop_map(|worker| Step::BreakWorker { worker }),
        1 => Just(Step::ChangeLeader),
        2 => (0..40u8, 0..4000u16).prop_map(|(loss, delay_ms)| Step::Network { loss, delay_ms }),
        4 => (0..JOBS, any::<bool>()).prop_map(|(nth, success)| Step::Finish { nth, success }),
    ]
}

fn run(seed: u64, steps: &[Step]) {
    let mut world = World::new(seed);
    for step in steps {
        world.step(step);
    }
    world.settle();
    world.check_end();
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

#[test]
fn invariants_hold_under_random_faults() {
    let steps = number("PLACE_FUZZ_STEPS", DEFAULT_TOTAL_STEPS);
    let seed = number("PLACE_FUZZ_SEED", DEFAULT_SEED);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let cases = (steps / STEPS_PER_HISTORY as u64) as u32;
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let histories = (any::<u64>(), vec(step(), STEPS_PER_HISTORY));
    let result = runner.run(&histories, |(seed, steps)| {
        run(seed, &steps);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Steps that put every worker into quarantine, then wait until after its end.
fn quarantine() -> Vec<Step> {
    let break_workers = (0..WORKERS).map(|worker| Step::BreakWorker { worker });
    let submit = (0..30).map(|job| Step::Submit { job, kind: 2 + job % 2 });
    let wait = (0..20).map(|_| Step::Wait { ticks: 50 });
    break_workers.chain(submit).chain(wait).collect()
}

/// Guards against a planning pass that never ends: the record of a worker still says that it is
/// quarantined after the end of the quarantine, and must not be requeued for a time that is past.
#[test]
fn a_pass_ends_when_a_quarantine_is_over_and_not_yet_lifted() {
    let mut world = World::new(1);
    for step in quarantine() {
        world.step(&step);
    }
    world.settle();
    world.check_end();
}
