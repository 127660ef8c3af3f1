//! Tests of the summary that is logged when a job ends.

mod world;

use {
    job::*,
    world::{
        day::{Day, Deployment},
        *,
    },
};

/// The number after `name` in a summary; 0 if it is not there.
fn field(why: &str, name: &str) -> u64 {
    let fields = why.split(", ").filter_map(|part| part.rsplit_once(' '));
    let found = fields.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok());
    found.unwrap_or(0)
}

/// Sum of the time waited, for all causes.
fn waited(why: &str) -> u64 {
    let fields = why.split(", ").filter(|part| part.starts_with("wait-"));
    fields.filter_map(|part| part.rsplit_once(' ')?.1.parse::<u64>().ok()).sum()
}

fn summaries(world: &World) -> Vec<&Note> {
    world.notes.iter().filter(|note| note.what == "job-summary").collect()
}

/// The report on what the scheduler has logged, under one leader.
fn report_on(world: &World) -> report::Report {
    let lines = world.notes.iter().zip(&world.note_times).map(|(note, at_ms)| {
        let Note { what, about, why } = note;
        serde_json::json!({ "at_ms": at_ms, "what": what, "about": about, "why": why }).to_string()
    });
    let mut log = report::Log::default();
    let text = lines.collect::<Vec<_>>().join("\n");
    log.read(text.as_bytes()).expect("reading from memory does not fail");
    report::Report::new(log)
}

/// One pool with its machines, and a pool `b` with machines that are not needed there.
fn pools(here: usize, elsewhere: usize) -> World {
    let mut world = World::new(1, config(&["a", "b"]));
    for i in 0..here {
        world.add_machine(&format!("m{i}"), "a", "r0", 16_000);
    }
    for i in 0..elsewhere {
        world.add_machine(&format!("n{i}"), "b", "r0", 16_000);
    }
    world.run(300);
    world
}

/// Guards against time that is charged twice or not at all.
#[test]
fn waits_runs_and_losses_add_up_to_the_time_of_the_job() {
    let day = Day::run_day(1, Deployment::small_machines());
    let summaries = summaries(&day.world);
    let ended = day.jobs.iter().filter(|job| day.world.ended_at.contains_key(&job.id)).count();
    assert!(ended > 100 && summaries.len() >= ended, "{} of {ended}", summaries.len());
    for note in summaries {
        let why = &note.why;
        let parts = ["run", "lost", "before"].map(|name| field(why, name)).iter().sum::<u64>();
        let (sum, took) = (parts + waited(why), field(why, "took"));
        // Each counter is rounded down to a millisecond, and the sums to thousandths.
        assert!(sum.abs_diff(took) <= 12 + took / 100, "{sum} of {took} ms: {why}");
    }
}

/// Guards against a cause without which the report cannot estimate the times of a former leader.
#[test]
fn pool_lines_tell_what_tasks_wait_for() {
    let mut world = pools(1, 4);
    world.submit(1, "a", chain(&[6], 12_000, 1000));
    world.run(2000);
    let lines = world.notes.iter().filter(|note| note.what == "pool" && note.about == "a");
    assert!(lines.map(|note| field(&note.why, "wait-moving")).max() > Some(0));
}

/// Guards against log lines and a report that drift apart.
#[test]
fn the_report_reads_every_line_about_jobs_and_pools() {
    for (seed, deployment) in [(2, Deployment::small_machines()), (3, Deployment::large_machines())]
    {
        let day = Day::run_day(seed, deployment);
        let report = report_on(&day.world);
        let report::LogSummary { not_parsed, unknown_fields, malformed, missing_summaries, .. } =
            report.log;
        assert_eq!([not_parsed, unknown_fields, malformed, missing_summaries], [0; 4]);
        assert_eq!(report.total.jobs, summaries(&day.world).len() as u64);
        assert!(report.pools.values().all(|used| used.idle > 0.0 && used.in_time > 0.0));
        let attribution = report.attribution;
        assert!(attribution.late > 0 && attribution.share() >= 0.95, "{attribution:?}");
    }
}

/// Guards against a report that cannot tell whether summaries are missing.
#[test]
fn summaries_are_numbered_without_gaps() {
    let mut world = pools(2, 0);
    for id in 1..=5 {
        world.submit(id, "a", chain(&[2, 1], 2000, 200));
    }
    world.run(3000);
    let numbers: Vec<_> = summaries(&world).iter().map(|n| field(&n.why, "number")).collect();
    assert_eq!(numbers, [1, 2, 3, 4, 5]);
}

#[test]
fn a_wait_for_a_machine_from_another_pool_is_a_wait_for_moving_machines() {
    let mut world = pools(1, 4);
    world.submit(1, "a", chain(&[4], 12_000, 1000));
    world.run(12_000);
    let why = &summaries(&world)[0].why;
    assert!(field(why, "wait-moving") > waited(why) / 2, "{why}");
}

#[test]
fn a_wait_behind_work_in_time_is_a_wait_for_capacity() {
    let mut world = pools(1, 0);
    world.submit(1, "a", chain(&[1], 16_000, 2000));
    world.run(50);
    world.submit(2, "a", chain(&[1], 16_000, 2000));
    world.run(12_000);
    let why = &summaries(&world).into_iter().find(|n| n.about.ends_with('2')).unwrap().why;
    assert!(field(why, "wait-capacity") > waited(why) / 2, "{why}");
}

/// Guards against surplus that is reported as a lack of instances.
#[test]
fn a_wait_of_surplus_is_a_wait_for_the_organisation() {
    let mut config = config(&["a"]);
    // Without an agreed rate, every job is surplus.
    config.organisations.insert("o".into(), Organisation::default());
    let mut world = World::new(3, config);
    world.add_machine("m0", "a", "r0", 16_000);
    world.run(300);
    world.submit(1, "a", chain(&[1], 16_000, 1000));
    world.run(50);
    world.submit_for(Some("o"), 2, "a", chain(&[1], 16_000, 1000));
    world.run(8000);
    let why = &summaries(&world).into_iter().find(|n| n.about.ends_with('2')).unwrap().why;
    assert!(field(why, "wait-organisation") > waited(why) / 2, "{why}");
    assert!(why.ends_with("pool a, queue a, organisation o"), "{why}");
}

#[test]
fn the_time_before_a_new_leader_is_logged_as_such() {
    let mut world = pools(2, 0);
    world.submit(1, "a", chain(&[1, 1], 2000, 600));
    world.run(400);
    world.change_leader(true);
    world.run(8000);
    let why = &summaries(&world)[0].why;
    assert!(field(why, "before") >= 400, "{why}");
}

#[test]
fn the_time_of_an_attempt_on_an_instance_that_ends_is_lost() {
    let mut world = pools(2, 0);
    world.submit(1, "a", chain(&[1], 2000, 3000));
    world.run(1000);
    let (_, _, _, incarnation) = world.starts[0].clone();
    world.crash(&incarnation, true);
    world.run(20_000);
    let why = &summaries(&world)[0].why;
    assert!(field(why, "lost") >= 900 && field(why, "gone") == 1, "{why}");
}

#[test]
fn a_wait_for_permits_is_a_wait_for_admission() {
    let mut config = config(&["a"]);
    config.queues.values_mut().for_each(|queue| queue.admission = Some(ADMISSION));
    let mut world = World::new(2, config);
    for i in 0..9 {
        world.add_machine(&format!("m{i}"), "a", "r0", 16_000);
    }
    world.run(300);
    world.submit(1, "a", chain(&[4], 2000, 400));
    world.run(3000);
    let why = &summaries(&world)[0].why;
    assert!(field(why, "wait-admission") > waited(why) / 2, "{why}");
}
