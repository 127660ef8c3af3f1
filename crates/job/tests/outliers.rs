//! Plays faults of a part of the instances under load, and checks what callers get with outlier
//! detection on and off. `JOB_OUTLIERS=N cargo test -p job --test outliers -- --nocapture` runs N
//! seeds of each and prints the figures.

mod world;

use {
    job::*,
    model::{Mechanism, Mechanisms},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
    world::*,
};

const INSTANCES: usize = 40;
const MILLICORES: u64 = 32_000;
const INSTANCES_PER_RACK: usize = 8;
const FAULT_BEGINS_MS: u64 = 6_000;
const SUBMIT_MS: u64 = 20_000;
const DRAIN_MS: u64 = 25_000;
const STEP_MS: u64 = 20;
/// Mean number of jobs per second; they keep about two thirds of the pool busy.
const JOBS_PER_SECOND: f64 = 5.6;
const SEEDS: u64 = 3;
/// Time between the restarts of an instance that goes down and up.
const RESTART_INTERVAL_MS: u64 = 1_400;

/// What happens to a part of the instances.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Share of the instances, in percent.
    percent: usize,
    /// Whether they are the first half of the first rack instead.
    half_rack: bool,
    fault: InstanceFault,
    /// Whether they go down and up.
    restarts: bool,
    /// How long the fault lasts.
    lasts_ms: u64,
    /// Whether one job in ten fails on every instance.
    bad_jobs: bool,
}

impl Load {
    const NONE: Self = Self {
        percent: 0,
        half_rack: false,
        fault: InstanceFault::NONE,
        restarts: false,
        lasts_ms: SUBMIT_MS,
        bad_jobs: false,
    };
}

/// What callers got.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    jobs: usize,
    in_time: usize,
    /// Jobs that ended later than three times their objective, or did not complete.
    missed: usize,
    failed: usize,
    /// Tasks started on instances with a fault while it lasted.
    started_on_faulty: usize,
    started: usize,
}

impl Outcome {
    fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.jobs as f64
    }

    fn add(&mut self, other: Self) {
        self.jobs += other.jobs;
        self.in_time += other.in_time;
        self.missed += other.missed;
        self.failed += other.failed;
        self.started_on_faulty += other.started_on_faulty;
        self.started += other.started;
    }
}

fn mechanisms(on: bool) -> Mechanisms {
    let mut mechanisms = Mechanisms::default();
    mechanisms.set(Mechanism::Avoidance, on);
    mechanisms.set(Mechanism::Parking, false);
    mechanisms
}

fn pool_of(seed: u64, instances: usize, on: bool) -> World {
    let bounds = Bounds::default();
    let mut world = World::with_mechanisms(seed, config(&["a"]), bounds, mechanisms(on));
    for i in 0..instances {
        let rack = format!("r{}", i / INSTANCES_PER_RACK);
        world.add_machine(&format!("m{i:02}"), "a", &rack, MILLICORES);
    }
    world.run(1000);
    world
}

/// Submits a job with 1 to 3 groups of about 8 tasks, whose declared run times are wrong by a factor
/// of up to 1.9. Returns its objective.
fn submit_random(world: &mut World, rng: &mut ChaCha8Rng, id: JobId) -> u64 {
    let groups = rng.random_range(1..=3);
    let mut spec = chain(&vec![8; groups], 0, 0);
    let mut critical_path = 0;
    for (i, group) in spec.groups.iter_mut().enumerate() {
        group.count = rng.random_range(6..=10);
        group.size.millicores = rng.random_range(3_000..=13_000);
        let run_time = rng.random_range(800..=1_700);
        let wrong = 1.9_f64.powf(rng.random_range(-1.0..=1.0));
        group.estimate = Duration::from_millis((run_time as f64 * wrong) as u64);
        world.run_times.insert(GroupId { job: id, round: 0, group: i as u16 }, run_time);
        critical_path += run_time;
    }
    world.submit(id, "a", spec);
    critical_path * 1600 / 1000 + 600
}

fn run(seed: u64, load: Load, on: bool) -> Outcome {
    let mut world = pool_of(seed, INSTANCES, on);
    let incarnations: Vec<_> = world.instances.keys().cloned().collect();
    // Every second instance of the faulty ones is in another rack.
    let faulty: Vec<_> = match load.half_rack {
        true => incarnations[..INSTANCES_PER_RACK / 2].to_vec(),
        false => {
            let count = INSTANCES * load.percent / 100;
            (0..count).map(|i| incarnations[i * INSTANCES / count].clone()).collect()
        }
    };
    let is_faulty = |name: &model::Name| faulty.iter().any(|i| i.name == *name);
    // The jobs are the same whatever the world draws.
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let begins = world.now + FAULT_BEGINS_MS;
    let ends = begins + load.lasts_ms;
    let submitted_until = world.now + SUBMIT_MS;
    let mut id = 0;
    while world.now < submitted_until {
        let lasts = world.now >= begins && world.now < ends;
        for instance in world.instances.values_mut() {
            if is_faulty(&instance.announcement.incarnation.name) {
                instance.fault = if lasts { load.fault } else { InstanceFault::NONE };
            }
        }
        if lasts && load.restarts && (world.now - begins) % RESTART_INTERVAL_MS < STEP_MS {
            let current =
                world.instances.iter().filter(|(i, instance)| instance.alive && is_faulty(&i.name));
            let current: Vec<_> = current.map(|(i, _)| i.clone()).collect();
            for incarnation in current {
                world.crash(&incarnation, true);
            }
        }
        if rng.random_bool(JOBS_PER_SECOND * STEP_MS as f64 / 1000.0) {
            id += 1;
            let objective = submit_random(&mut world, &mut rng, id);
            let is_bad = load.bad_jobs && id % 10 == 0;
            if is_bad {
                world.bad_jobs.insert(id);
            } else {
                jobs.push((id, world.now, objective));
            }
        }
        world.run(STEP_MS);
    }
    for instance in world.instances.values_mut() {
        instance.fault = InstanceFault::NONE;
    }
    world.run(DRAIN_MS);
    let mut outcome = Outcome { jobs: jobs.len(), ..Outcome::default() };
    for (id, at, objective) in jobs {
        let state = world.table.jobs[&id].state;
        let took = world.ended_at.get(&id).map(|ended| ended - at);
        let took = took.filter(|_| state == JobState::Completed);
        outcome.in_time += usize::from(took.is_some_and(|took| took <= objective));
        outcome.missed += usize::from(took.is_none_or(|took| took > 3 * objective));
        outcome.failed += usize::from(state == JobState::Failed);
    }
    let during = world.starts.iter().filter(|(at, ..)| (begins..ends).contains(at));
    outcome.started = during.clone().count();
    outcome.started_on_faulty = during.filter(|start| is_faulty(&start.3.name)).count();
    outcome
}

/// Adds up the outcomes of all seeds with the mechanism on and off.
fn compare(name: &str, load: Load) -> (Outcome, Outcome) {
    let seeds = std::env::var("JOB_OUTLIERS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds = 1..=seeds.unwrap_or(SEEDS);
    let total = |on| {
        seeds.clone().fold(Outcome::default(), |mut total, seed| {
            total.add(run(seed, load, on));
            total
        })
    };
    let (on, off) = (total(true), total(false));
    for (label, outcome) in [("on", on), ("off", off)] {
        println!("{name}, {label}: in time {:.3}, {outcome:?}", outcome.in_time_share());
    }
    (on, off)
}

/// Difference of the shares in time, on identical loads, that counts as noise.
const NOISE: f64 = 0.02;

/// Checks that the mechanism gains at least `gain` of the jobs and loses none for good, and that the
/// faulty instances get at most `percent` of the starts that they get without it.
fn assert_gain(name: &str, load: Load, gain: f64, percent: usize) {
    let (on, off) = compare(name, load);
    let gained = on.in_time_share() - off.in_time_share();
    assert!(gained >= gain, "{name}: {gained:.3} gained");
    assert!(on.missed <= off.missed, "{name}: {} and {} missed", on.missed, off.missed);
    let (on, off) = (on.started_on_faulty, off.started_on_faulty);
    assert!(on * 100 <= off * percent, "{name}: {on} and {off} starts on faulty instances");
}

/// Checks that the mechanism costs nothing where it cannot help.
fn assert_no_loss(name: &str, load: Load) {
    let (on, off) = compare(name, load);
    let lost = off.in_time_share() - on.in_time_share();
    assert!(lost <= NOISE, "{name}: {lost:.3} lost");
    assert!(on.missed <= off.missed + 1, "{name}: {} and {} missed", on.missed, off.missed);
}

/// Guards against sound instances being taken for bad ones.
#[test]
fn sound_instances_are_used_as_without_detection() {
    assert_no_loss("no fault", Load::NONE);
}

/// Guards against a share of failures going unnoticed because most tasks succeed.
#[test]
fn instances_that_fail_45_percent_for_a_while_get_less_work() {
    let fault = InstanceFault { fail_permille: 450, ..InstanceFault::NONE };
    let load = Load { percent: 14, fault, lasts_ms: 6_500, ..Load::NONE };
    assert_gain("14% fail 45%", load, 0.015, 70);
}

/// Guards against an instance that fails at once, and so always has room, getting most of the work.
#[test]
fn instances_that_fail_everything_at_once_get_little_work() {
    let fault = InstanceFault { fail_permille: 1000, fail_after_ms: 100, ..InstanceFault::NONE };
    assert_gain("8% fail all at once", Load { percent: 8, fault, ..Load::NONE }, 0.04, 30);
}

/// Guards against retries going back to the instances that failed.
#[test]
fn instances_that_fail_everything_at_the_end_get_little_work() {
    let fault = InstanceFault { fail_permille: 1000, ..InstanceFault::NONE };
    assert_gain("8% fail all", Load { percent: 8, fault, ..Load::NONE }, 0.06, 40);
}

/// Guards against slowness going unnoticed because nothing fails, and against the tasks that started
/// before it was noticed staying there.
#[test]
fn slow_instances_get_little_work() {
    let fault = InstanceFault { run_time_percent: 500, ..InstanceFault::NONE };
    assert_gain("16% slow", Load { percent: 16, fault, ..Load::NONE }, 0.15, 50);
}

/// Guards against each incarnation of an unstable machine being trusted anew.
#[test]
fn instances_that_go_down_and_up_get_little_work() {
    assert_gain("10% restart", Load { percent: 10, restarts: true, ..Load::NONE }, 0.01, 30);
}

/// Guards against the report of an instance being taken as the verdict.
#[test]
fn sound_instances_that_report_to_be_unhealthy_are_used() {
    let fault = InstanceFault { refuse_permille: 500, ..InstanceFault::NONE };
    assert_no_loss("10% refuse half", Load { percent: 10, fault, ..Load::NONE });
}

/// Guards against the tasks of a pool waiting for instances that refuse them.
#[test]
fn unhealthy_instances_that_refuse_everything_delay_nothing() {
    let fault = InstanceFault { refuse_permille: 1000, ..InstanceFault::NONE };
    assert_no_loss("10% refuse all", Load { percent: 10, fault, ..Load::NONE });
}

/// Guards against bad instances of one rack being taken for one event of the rack.
#[test]
fn half_a_slow_rack_gets_little_work() {
    let fault = InstanceFault { run_time_percent: 500, ..InstanceFault::NONE };
    assert_gain("half a rack slow", Load { half_rack: true, fault, ..Load::NONE }, 0.1, 50);
}

/// Guards against jobs whose tasks fail everywhere taking instances away from the others.
#[test]
fn jobs_that_fail_everywhere_cost_others_nothing() {
    assert_no_loss("bad jobs", Load { bad_jobs: true, ..Load::NONE });
}

/// Incarnations for which the last logged stage is the given one.
fn in_stage(world: &World, what: &str) -> Vec<String> {
    let mut stages: std::collections::BTreeMap<_, _> =
        world.instances.keys().map(|i| (i.to_string(), "instance-healthy")).collect();
    let kinds = ["instance-healthy", "instance-suspect", "instance-ejected", "instance-probing"];
    for note in world.notes.iter().filter(|note| kinds.contains(&note.what)) {
        stages.insert(note.about.clone(), note.what);
    }
    let of_stage = stages.into_iter().filter(|(_, stage)| *stage == what);
    of_stage.map(|(about, _)| about).collect()
}

fn was_ejected(world: &World, incarnation: &Incarnation) -> bool {
    let about = incarnation.to_string();
    world.notes.iter().any(|note| note.what == "instance-ejected" && note.about == about)
}

/// Submits small jobs for `ms`, and returns their ids.
fn submit_small(world: &mut World, next: &mut JobId, ms: u64) {
    let until = world.now + ms;
    while world.now < until {
        *next += 1;
        world.submit(*next, "a", chain(&[16], 6_000, 400));
        world.run(100);
    }
}

/// Guards against a new leader inheriting nothing and losing jobs, or keeping limits that no evidence
/// supports.
#[test]
fn a_new_leader_finds_the_ejected_instances_again() {
    let mut world = pool_of(1, 16, true);
    let bad: Vec<_> = world.instances.keys().take(2).cloned().collect();
    for incarnation in &bad {
        let instance = world.instances.get_mut(incarnation).expect("it was added");
        instance.fault.fail_permille = 1000;
        instance.fault.fail_after_ms = 50;
    }
    let mut jobs = 0;
    submit_small(&mut world, &mut jobs, 3000);
    assert!(bad.iter().all(|incarnation| was_ejected(&world, incarnation)), "{:?}", world.notes);
    world.change_leader(true);
    world.notes.clear();
    submit_small(&mut world, &mut jobs, 4000);
    assert!(bad.iter().all(|incarnation| was_ejected(&world, incarnation)), "{:?}", world.notes);
    for incarnation in &bad {
        let instance = world.instances.get_mut(incarnation).expect("it was added");
        instance.fault = InstanceFault::NONE;
    }
    submit_small(&mut world, &mut jobs, 20_000);
    world.run(10_000);
    assert!((1..=jobs).all(|id| world.table.jobs[&id].state == JobState::Completed));
    assert_eq!(in_stage(&world, "instance-ejected"), Vec::<String>::new());
}

/// Guards against estimates that are all wrong emptying a pool: the instances refuse
/// most starts, so that they come into doubt, and are sound then. Three quarters of them must be used
/// as before.
#[test]
fn a_wrong_estimate_cannot_empty_a_pool() {
    let work = |on| {
        let mut world = pool_of(2, 16, on);
        for instance in world.instances.values_mut() {
            instance.fault.refuse_permille = 800;
        }
        let mut jobs = 0;
        submit_small(&mut world, &mut jobs, 3000);
        let in_doubt = 16 - in_stage(&world, "instance-healthy").len();
        assert!(!on || in_doubt >= 12, "{in_doubt} instances are in doubt");
        for instance in world.instances.values_mut() {
            instance.fault = InstanceFault::NONE;
        }
        (1..=jobs).for_each(|id| world.cancel(id));
        // Wait until nothing runs and no instance is avoided for its last refusal. Then submit more tasks than a quarter
        // of the pool takes.
        world.run(400);
        let before = world.starts.len();
        for _ in 0..10 {
            jobs += 1;
            world.submit(jobs, "a", chain(&[8], 6_000, 1000));
        }
        world.run(100);
        world.starts.len() - before
    };
    let (on, off) = (work(true), work(false));
    assert!(on * 4 >= off * 3, "{on} tasks were started, {off} without detection");
}

/// Guards against a rack that loses power again and again being taken for eight unstable instances,
/// which would stay ejected after it is back.
#[test]
fn a_rack_that_failed_as_a_whole_is_used_again() {
    let mut world = pool_of(3, 40, true);
    let rack: Vec<_> = world.instances.keys().take(INSTANCES_PER_RACK).cloned().collect();
    let mut jobs = 0;
    submit_small(&mut world, &mut jobs, 2000);
    for _ in 0..4 {
        let of_rack = |i: &&Incarnation| rack.iter().any(|first| first.name == i.name);
        let alive = world.instances.iter().filter(|(_, instance)| instance.alive);
        let current: Vec<_> = alive.map(|(i, _)| i).filter(of_rack).cloned().collect();
        current.iter().for_each(|incarnation| world.crash(incarnation, true));
        submit_small(&mut world, &mut jobs, RESTART_INTERVAL_MS);
    }
    let ejected = world.notes.iter().filter(|note| note.what == "instance-ejected");
    assert_eq!(ejected.collect::<Vec<_>>(), Vec::<&Note>::new());
    assert!(world.notes.iter().any(|note| note.what == "rack-failed"), "one event of the rack");
}

/// Guards against an ejected instance being moved to the pool with the burst because it is idle, and
/// against it being counted as capacity there or in its pool.
#[test]
fn an_ejected_instance_is_not_given_to_another_pool() {
    let bounds = Bounds::default();
    let mut world = World::with_mechanisms(4, config(&["a", "b"]), bounds, mechanisms(true));
    for i in 0..8 {
        world.add_machine(&format!("m{i}"), "a", &format!("r{i}"), MILLICORES);
    }
    world.add_machine("n0", "b", "r8", MILLICORES);
    world.run(1000);
    let bad = world.instances.keys().next().expect("there are instances").clone();
    let machine = world.instances[&bad].machine().clone();
    let instance = world.instances.get_mut(&bad).expect("it was added");
    instance.fault.fail_permille = 1000;
    instance.fault.fail_after_ms = 50;
    let mut jobs = 0;
    while !was_ejected(&world, &bad) {
        assert!(world.now < 20_000, "the instance is not ejected");
        submit_small(&mut world, &mut jobs, 100);
    }
    (1..=jobs).for_each(|id| world.cancel(id));
    for id in 1..=40 {
        world.submit(1000 + id, "b", chain(&[8], 6_000, 1000));
    }
    world.run(800);
    assert!(world.moves > 0, "machines are moved to the burst");
    assert_eq!(&*world.machines[&machine].pool, "a", "the ejected machine was moved");
}
