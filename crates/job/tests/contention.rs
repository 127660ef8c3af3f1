//! Tests of the order among organisations in a full pool, and of what surplus does to others.

mod world;

use {
    job::*,
    model::{Mechanism, Mechanisms, Resources},
    rand::Rng,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    world::*,
};

/// Number of organisations beside the one with the surplus.
const OTHERS: usize = 19;
/// Agreed rate and weight of each organisation, in jobs per second.
const RATE: u32 = 2;
const LOAD_MS: u64 = 15_000;
/// Time during which the first organisation submits its surplus.
const SURPLUS_MS: std::ops::Range<u64> = 4000..10_000;

/// A world with one pool of machines with 16 processors and 128 GB each.
fn one_pool(seed: u64, machines: usize, organisations: &[(&str, u32)], slack: Duration) -> World {
    let mut config = config(&["a"]);
    config.queues.get_mut("a").expect("a queue").slack = slack;
    for (name, weight) in organisations {
        config.organisations.insert((*name).into(), organisation(*weight, 0));
    }
    let mut world = World::new(seed, config);
    for i in 0..machines {
        world.add_machine(&format!("m{i}"), "a", &format!("r{}", i % 4), 16_000);
    }
    world.run(300);
    world
}

fn switch_off(world: &mut World, mechanism: Mechanism) {
    let mut mechanisms = Mechanisms::default();
    mechanisms.set(mechanism, false);
    let scheduler = std::mem::take(&mut world.scheduler);
    world.scheduler = scheduler.with_mechanisms(mechanisms);
}

/// Share of the jobs of the others that met their objective, by second of submission, after a load
/// of which the first organisation submits `factor` times its rate for some seconds.
fn in_time_of_others(seed: u64, factor: f64) -> Vec<f64> {
    let names: Vec<_> = (0..=OTHERS).map(|i| format!("o{i:02}")).collect();
    let organisations: Vec<_> = names.iter().map(|name| (name.as_str(), RATE)).collect();
    // 20 organisations use all 256 processors at their rates.
    let mut world = one_pool(seed, 16, &organisations, Duration::from_millis(1000));
    let begin = world.now;
    let mut jobs = Vec::new();
    let mut next = 1;
    while world.now < begin + LOAD_MS {
        for (i, name) in names.iter().enumerate() {
            let surplus = i == 0 && SURPLUS_MS.contains(&(world.now - begin));
            let rate = f64::from(RATE) * if surplus { factor } else { 1.0 };
            // Evenly spaced jobs, so that the others stay within their rates.
            let due = |ms: u64| ((ms as f64 + 37.0 * i as f64) * rate / 1000.0) as u64;
            if due(world.now - begin + 20) > due(world.now - begin) {
                let estimate = world.rng.random_range(300..500);
                world.submit_for(Some(name), next, "a", chain(&[4, 4], 2000, estimate));
                jobs.push((next, i, world.now));
                next += 1;
            }
        }
        world.run(20);
    }
    world.run(60_000);
    assert!(world.table.live.is_empty(), "every job ends, with and without surplus");
    let surplus = world.table.jobs.values().filter(|record| record.surplus).count();
    assert_eq!(surplus > 20, factor > 2.0, "{surplus} jobs exceed the rate");
    let config = world.table.config.as_ref().expect("a configuration");
    let mut by_second = BTreeMap::<u64, (u32, u32)>::new();
    for (id, _, at) in jobs.iter().filter(|(_, i, _)| *i > 0) {
        let path = world.table.jobs[id].critical_path;
        let objective = config.queue("a").expect("a queue").objective(path);
        let in_time = world.ended_at[id] - at <= objective.as_millis() as u64;
        let (met, all) = by_second.entry((at - begin) / 1000).or_default();
        *met += u32::from(in_time);
        *all += 1;
    }
    by_second.values().map(|(met, all)| f64::from(*met) / f64::from(*all)).collect()
}

/// Guards against a surplus that takes room from organisations within their rates (R17).
#[test]
fn the_surplus_of_one_organisation_does_not_delay_the_others() {
    for seed in 1..=3 {
        let without = in_time_of_others(seed, 1.0);
        let with = in_time_of_others(seed, 7.0);
        let mean = |shares: &[f64]| shares.iter().sum::<f64>() / shares.len() as f64;
        let (before, after) = (mean(&without), mean(&with));
        println!("seed {seed}: {before:.3} in time without the surplus, {after:.3} with it");
        println!("by second: {without:.2?} and {with:.2?}");
        assert!(after >= before - 0.05, "seed {seed}: {after:.3} instead of {before:.3}");
        let worst = |shares: &[f64]| shares.iter().copied().fold(1.0, f64::min);
        let (before, after) = (worst(&without), worst(&with));
        assert!(after >= before - 0.1, "seed {seed}: worst second {after:.3}, {before:.3} without");
    }
}

/// Mean processors and memory at work for two organisations that each request more than the pool
/// holds. `submit` adds one round of jobs.
fn compete(
    fair: bool,
    weights: (u32, u32),
    submit: impl Fn(&mut World, &mut JobId, u64),
) -> [Resources; 2] {
    let organisations = [("x", weights.0), ("y", weights.1)];
    let mut world = one_pool(1, 20, &organisations, Duration::from_secs(600));
    if !fair {
        switch_off(&mut world, Mechanism::FairShares);
    }
    let mut next = 1;
    let mut sums = [Resources::default(); 2];
    let samples = 200;
    for step in 0..400 {
        submit(&mut world, &mut next, step);
        world.run(20);
        if step >= 400 - samples {
            sums[0] += world.runs_for(Some("x"));
            sums[1] += world.runs_for(Some("y"));
        }
    }
    sums.map(|sum| Resources {
        millicores: sum.millicores / samples,
        memory_mb: sum.memory_mb / samples,
        accelerators: 0,
    })
}

fn submit_next(world: &mut World, next: &mut JobId, name: &str, spec: Spec) {
    world.submit_for(Some(name), *next, "a", spec);
    *next += 1;
}

/// Many small jobs of `x`, and few large ones of `y`.
fn small_and_large(world: &mut World, next: &mut JobId, step: u64) {
    for _ in 0..12 {
        submit_next(world, next, "x", chain(&[1], 1000, 800));
    }
    if step.is_multiple_of(15) {
        submit_next(world, next, "y", chain(&[80], 1000, 800));
    }
}

/// Guards against an organisation that gets more room by splitting its work into many jobs, or by
/// combining it in few.
#[test]
fn many_small_jobs_and_few_large_ones_get_equal_shares() {
    let [small, large] = compete(true, (1000, 1000), small_and_large);
    println!("small jobs {small}, large jobs {large}");
    let ratio = small.millicores as f64 / large.millicores as f64;
    assert!((0.8..1.25).contains(&ratio), "{small} and {large}");
    let all = small.millicores + large.millicores;
    assert!(all > 300_000, "the pool of 320 processors is in use: {all}");
    let [small, large] = compete(false, (1000, 1000), small_and_large);
    println!("without shares: small jobs {small}, large jobs {large}");
    assert!(small.millicores > large.millicores * 3 / 2, "the load is not equal by itself");
}

/// Guards against weights without an effect.
#[test]
fn shares_follow_the_weights() {
    let [small, large] = compete(true, (3000, 1000), small_and_large);
    println!("small jobs {small}, large jobs {large}");
    let ratio = small.millicores as f64 / large.millicores as f64;
    assert!((2.4..3.6).contains(&ratio), "{small} and {large}");
}

/// Guards against shares that only count processors.
#[test]
fn memory_can_be_the_dominant_resource() {
    let load = |world: &mut World, next: &mut JobId, _: u64| {
        let mut large_memory = chain(&[4], 1000, 800);
        large_memory.groups[0].size.memory_mb = 16_000;
        for _ in 0..3 {
            submit_next(world, next, "x", large_memory.clone());
            submit_next(world, next, "y", chain(&[4], 2000, 800));
        }
    };
    let [memory, processors] = compete(true, (1000, 1000), load);
    println!("memory {memory}, processors {processors}");
    let share = |amount: u64, capacity: u64| amount as f64 / (20 * capacity) as f64;
    let (memory, processors) =
        (share(memory.memory_mb, 128_000), share(processors.millicores, 16_000));
    let ratio = memory / processors;
    assert!((0.8..1.25).contains(&ratio), "{memory:.2} of the memory, {processors:.2} processors");
    assert!(memory > 0.5, "{memory:.2} of the memory is in use");
}

/// Guards against priorities without an effect among organisations with equal shares.
#[test]
fn priority_decides_among_equal_shares() {
    let mut world = one_pool(1, 1, &[("x", 1), ("y", 1)], Duration::from_secs(600));
    let mut config = world.table.config.clone().expect("a configuration");
    config.organisations.get_mut("x").expect("an organisation").priority = 1;
    world.configure(config);
    world.submit(1, "a", chain(&[16], 1000, 800));
    world.run(50);
    world.submit_for(Some("x"), 2, "a", chain(&[8], 2000, 700));
    world.submit_for(Some("y"), 3, "a", chain(&[8], 2000, 700));
    world.run(1000);
    assert_eq!(world.starts[16].1.job, 3, "the priority of `y` comes first");
}

/// Guards against jobs without an organisation that starve, or take the room of all others.
#[test]
fn jobs_without_an_organisation_share_as_one_more() {
    let load = |world: &mut World, next: &mut JobId, _: u64| {
        for _ in 0..4 {
            submit_next(world, next, "x", chain(&[2], 1000, 800));
            world.submit(*next, "a", chain(&[2], 1000, 800));
            *next += 1;
            submit_next(world, next, "y", chain(&[2], 1000, 800));
        }
    };
    let [x, y] = compete(true, (1000, 1000), load);
    println!("x {x}, y {y}");
    for each in [x, y] {
        let share = each.millicores as f64 / 320_000.0;
        assert!((0.28..0.39).contains(&share), "{share:.2} instead of a third");
    }
}

/// Starts of a mixed load of jobs without an organisation in a full pool.
fn starts_of_mixed_load(mut world: World) -> Vec<TaskId> {
    for id in 1..=200 {
        let count = world.rng.random_range(1..6);
        let estimate = world.rng.random_range(200..1500);
        world.submit(id, "a", chain(&[count, 2], 2000, estimate));
        world.run(20);
    }
    world.run(120_000);
    assert!(world.table.live.is_empty());
    world.starts.iter().map(|(_, task, _, _)| *task).collect()
}

/// Guards against an order of placement that depends on the shares if there are no organisations,
/// and against a different one among jobs without an organisation.
#[test]
fn without_organisations_the_order_is_as_without_shares() {
    let slack = Duration::from_millis(600);
    let mut plain = one_pool(1, 2, &[], slack);
    switch_off(&mut plain, Mechanism::FairShares);
    let expected = starts_of_mixed_load(plain);
    assert_eq!(starts_of_mixed_load(one_pool(1, 2, &[], slack)), expected);
    assert_eq!(starts_of_mixed_load(one_pool(1, 2, &[("x", 1), ("y", 2)], slack)), expected);
}

/// Guards against another order without organisations than before there were any: class, queue
/// priority, begun first, then the most urgent.
#[test]
fn without_organisations_the_most_urgent_job_goes_first() {
    let mut world = one_pool(1, 1, &[], Duration::from_secs(60));
    world.submit(1, "a", chain(&[1], 16_000, 500));
    world.run(50);
    let estimates = [300, 900, 600, 1200, 100, 450];
    for (id, estimate) in (2..).zip(estimates) {
        world.submit(id, "a", chain(&[1], 16_000, estimate));
    }
    world.run(10_000);
    // The slack is 0.6 times the estimate and the constant of the queue.
    let order: Vec<_> = world.starts.iter().skip(1).map(|(_, task, _, _)| task.job).collect();
    assert_eq!(order, [6, 2, 7, 4, 3, 5]);
}

/// Mean times of planning passes over `jobs` waiting jobs, with room for none of them.
fn pass_time(organisations: usize, jobs: u64, passes: u32) -> Duration {
    let names: Vec<_> = (0..organisations).map(|i| format!("o{i:03}")).collect();
    let named: Vec<_> = names.iter().map(|name| (name.as_str(), 1000)).collect();
    let mut world = one_pool(1, 100, &named, Duration::from_secs(600));
    for id in 1..=jobs + 400 {
        let name = names.get(id as usize % organisations.max(1));
        let spec = chain(&[4], 2000, 500 + id % 1000);
        world.submit_for(name.map(String::as_str), id, "a", spec);
    }
    world.run(300);
    let mut now = Duration::from_millis(world.now);
    let unix = world.unix();
    let mut took = Duration::ZERO;
    // The time between two passes that the scheduler keeps.
    let interval = Duration::from_millis(9 + (jobs + 400) * 8 / 250);
    for _ in 0..passes {
        now += interval;
        let event = Event::CommandCommitted(vec![Outcome::Configured]);
        let began = Instant::now();
        let effects = world.scheduler.reduce(now, unix, &world.table, event);
        took += began.elapsed();
        let proposes = |effect: &Effect| matches!(effect, Effect::Propose(_));
        assert!(!effects.iter().any(proposes), "the pool is full");
    }
    took / passes
}

/// Time of the first planning pass, which fills 100 machines with a part of the waiting jobs.
fn filling_time(organisations: usize, jobs: u64) -> Duration {
    let names: Vec<_> = (0..organisations).map(|i| format!("o{i:03}")).collect();
    let named: Vec<_> = names.iter().map(|name| (name.as_str(), 1000)).collect();
    let mut world = one_pool(1, 100, &named, Duration::from_secs(600));
    let mut outcomes = Vec::new();
    for id in 1..=jobs {
        let name = names.get(id as usize % organisations.max(1));
        outcomes.extend(world.table.apply(Command::Submit {
            id,
            queue: "a".into(),
            spec: chain(&[4], 2000, 500 + id % 1000),
            organisation: name.map(|name| name.as_str().into()),
            at: world.unix(),
        }));
    }
    let (now, unix) = (Duration::from_millis(world.now + 50), world.unix());
    let event = Event::CommandCommitted(outcomes);
    let began = Instant::now();
    let effects = world.scheduler.reduce(now, unix, &world.table, event);
    let took = began.elapsed();
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Propose(_))));
    took
}

/// Prints the time of a planning pass by the number of organisations. Run it in release mode, on a
/// machine without other load.
#[test]
#[ignore = "a measurement"]
fn planning_time_by_number_of_organisations() {
    for jobs in [400, 2000] {
        for _ in 0..3 {
            let [without, few, many] = [0, 20, 150].map(|organisations| {
                let mut times: Vec<_> = (0..9).map(|_| filling_time(organisations, jobs)).collect();
                times.sort();
                times[4]
            });
            let ratio = |time: Duration| time.as_secs_f64() / without.as_secs_f64();
            println!(
                "filling, {jobs} jobs: {without:?} without, {:.3} times with 20, {:.3} with 150",
                ratio(few),
                ratio(many)
            );
        }
    }
    for jobs in [200, 1000, 4000] {
        for _ in 0..3 {
            let times = [0, 20, 150].map(|organisations| pass_time(organisations, jobs, 200));
            let [without, few, many] = times;
            let ratio = |time: Duration| time.as_secs_f64() / without.as_secs_f64();
            println!(
                "{jobs} jobs: {without:?} without organisations, {:.3} times with 20, {:.3} with 150",
                ratio(few),
                ratio(many)
            );
        }
    }
}
