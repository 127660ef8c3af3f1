//! Organisations in the replicated table: agreed rates, and to whom a job belongs.

use {
    job::{
        Answer, Command, Config, Group, JobId, KeyDigest, Limits, Organisation, Outcome, Pool,
        Queue, Spec, Table, UnixMs,
    },
    model::{Name, Resources},
    std::{collections::BTreeMap, time::Duration},
};

fn spec() -> Spec {
    Spec { groups: vec![Group { count: 1, ..Default::default() }], ..Default::default() }
}

fn organisation(weight: u32) -> Organisation {
    Organisation { weight, ..Default::default() }
}

/// A configuration with one queue and these organisations, by name and weight.
fn config(version: u64, weights: &[(&str, u32)]) -> Config {
    let queue = Queue {
        name: "q".into(),
        host: "host".into(),
        prefix: "/q/".into(),
        anonymous: false,
        pool: "p".into(),
        priority: 0,
        max_attempts: 3,
        stretch_permille: 1600,
        slack: Duration::from_millis(600),
        admission: None,
    };
    let named = |(name, weight): &(&str, u32)| (Name::from(*name), organisation(*weight));
    Config {
        version,
        text: "".into(),
        queues: BTreeMap::from([("q".into(), queue)]),
        pools: BTreeMap::from([("p".into(), Pool { checks_room: true, spare: false })]),
        organisations: weights.iter().map(named).collect(),
        keys: Default::default(),
        limits: Limits { body_bytes: 1 << 18, idle: Duration::from_secs(15) },
    }
}

fn table(weights: &[(&str, u32)]) -> Table {
    let mut table = Table::default();
    table.apply(Command::Configure(config(1, weights)));
    table
}

fn submit(table: &mut Table, id: JobId, organisation: &str, at: UnixMs) -> Outcome {
    let organisation = Some(organisation.into());
    let command = Command::Submit { id, queue: "q".into(), spec: spec(), organisation, at };
    table.apply(command).remove(0)
}

/// Submits jobs from the id `first` on at the time `at`; returns which of them are surplus.
fn surplus(table: &mut Table, first: JobId, count: u64, name: &str, at: UnixMs) -> Vec<bool> {
    let ids = first..first + count;
    ids.map(|id| {
        submit(table, id, name, at);
        table.jobs[&id].surplus
    })
    .collect()
}

/// Guards against a bucket of the wrong depth or rate: jobs within the rate would be planned last,
/// or a burst would push aside the jobs of others.
#[test]
fn jobs_beyond_the_agreed_rate_are_surplus() {
    let mut table = table(&[("a", 3)]);
    let at = 1_000_000;
    assert_eq!(surplus(&mut table, 0, 5, "a", at), [false, false, false, true, true]);
    assert_eq!(surplus(&mut table, 10, 1, "a", at + 333), [true], "0.999 tokens are no token");
    assert_eq!(surplus(&mut table, 11, 2, "a", at + 334), [false, true]);
    // However long nothing is submitted, the bucket holds no more than one second's tokens.
    let later = at + 3_600_000;
    assert_eq!(surplus(&mut table, 20, 5, "a", later), [false, false, false, true, true]);
}

/// Guards against a look ahead that differs from the decision: jobs within the rate would be
/// refused.
#[test]
fn the_table_tells_whether_the_next_job_is_surplus() {
    let mut table = table(&[("a", 2)]);
    for id in 0..6 {
        let expected = table.exceeds_rate(&"a".into(), 500);
        submit(&mut table, id, "a", 500);
        assert_eq!(table.jobs[&id].surplus, expected, "job {id}");
    }
    assert_eq!(table.pending_surplus()["a"], 4);
    assert!(!table.exceeds_rate(&"unknown".into(), 500));
}

#[test]
fn every_job_of_an_organisation_with_weight_0_is_surplus() {
    let mut table = table(&[("a", 0)]);
    assert_eq!(surplus(&mut table, 0, 2, "a", 5000), [true, true]);
    assert_eq!(surplus(&mut table, 2, 1, "a", 500_000), [true]);
}

/// Guards against buckets that are shared: the surplus of one organisation would cost another its
/// rate.
#[test]
fn the_rate_of_an_organisation_is_its_own() {
    let mut table = table(&[("a", 1), ("b", 1)]);
    assert_eq!(surplus(&mut table, 0, 4, "a", 5000), [false, true, true, true]);
    assert_eq!(surplus(&mut table, 10, 1, "b", 5000), [false]);
}

#[test]
fn a_lowered_weight_takes_tokens_and_a_raised_one_grants_none_at_once() {
    let mut table = table(&[("a", 5)]);
    surplus(&mut table, 0, 1, "a", 5000);
    table.apply(Command::Configure(config(2, &[("a", 2)])));
    assert_eq!(surplus(&mut table, 10, 3, "a", 5000), [false, false, true]);
    table.apply(Command::Configure(config(3, &[("a", 4)])));
    assert_eq!(surplus(&mut table, 20, 1, "a", 5000), [true]);
    assert_eq!(surplus(&mut table, 30, 2, "a", 5250), [false, true]);
}

/// Guards against a bucket that outlives its organisation, which a new one with the same name would
/// inherit.
#[test]
fn an_organisation_whose_name_returns_starts_with_a_full_bucket() {
    let mut table = table(&[("a", 2)]);
    assert_eq!(surplus(&mut table, 0, 3, "a", 5000), [false, false, true]);
    table.apply(Command::Configure(config(2, &[("b", 2)])));
    table.apply(Command::Configure(config(3, &[("a", 2)])));
    assert_eq!(surplus(&mut table, 10, 3, "a", 5000), [false, false, true]);
}

/// Guards against a leader whose clock is behind: the bucket must neither stop to fill until that
/// clock has caught up, nor hold more than its depth afterwards.
#[test]
fn a_clock_that_steps_back_stops_no_tokens() {
    let mut table = table(&[("a", 2)]);
    assert_eq!(surplus(&mut table, 0, 2, "a", 1_000_000), [false, false]);
    assert_eq!(surplus(&mut table, 10, 1, "a", 400_000), [true]);
    assert_eq!(surplus(&mut table, 20, 2, "a", 400_500), [false, true]);
    assert_eq!(surplus(&mut table, 30, 3, "a", 1_000_000), [false, false, true]);
}

/// Guards against a repeated submission that takes a token or marks a job a second time.
#[test]
fn a_job_that_is_submitted_again_takes_no_token() {
    let mut table = table(&[("a", 2)]);
    for _ in 0..5 {
        assert_eq!(submit(&mut table, 1, "a", 5000), Outcome::Accepted(1));
    }
    assert_eq!(surplus(&mut table, 2, 2, "a", 5000), [false, true]);
}

/// Guards against two submissions of one id on their way to the log at the same time: the second
/// must not be reported as accepted.
#[test]
fn an_id_of_another_organisation_is_refused_and_changes_nothing() {
    let mut table = table(&[("a", 2), ("b", 2)]);
    submit(&mut table, 1, "a", 5000);
    let before = table.clone();
    assert_eq!(submit(&mut table, 1, "b", 5000), Outcome::Conflict(1));
    let anonymous =
        Command::Submit { id: 1, queue: "q".into(), spec: spec(), organisation: None, at: 5000 };
    assert_eq!(table.apply(anonymous), [Outcome::Conflict(1)]);
    assert_eq!(table, before);
}

#[test]
fn a_job_without_an_organisation_is_visible_to_all() {
    let mut table = table(&[("a", 2), ("b", 2)]);
    let anonymous =
        Command::Submit { id: 1, queue: "q".into(), spec: spec(), organisation: None, at: 5000 };
    table.apply(anonymous);
    submit(&mut table, 2, "a", 5000);
    assert!(!table.jobs[&1].surplus);
    let (a, b): (Name, Name) = ("a".into(), "b".into());
    let visible = |id: JobId| [Some(&a), Some(&b), None].map(|o| table.jobs[&id].is_visible_to(o));
    assert_eq!(visible(1), [true, true, true]);
    assert_eq!(visible(2), [true, false, false]);
}

#[test]
fn an_older_configuration_changes_no_organisation() {
    let mut table = table(&[("a", 2)]);
    table.apply(Command::Configure(config(5, &[("b", 2)])));
    let before = table.clone();
    for version in [4, 5] {
        table.apply(Command::Configure(config(version, &[("a", 9)])));
        assert_eq!(table, before, "version {version}");
    }
}

#[test]
fn a_group_that_exceeds_the_limit_by_itself_is_found() {
    let limit = Resources { millicores: 1000, memory_mb: 0, accelerators: 2 };
    let limits = Organisation { limit, ..organisation(1) };
    let size =
        |millicores, memory_mb, accelerators| Resources { millicores, memory_mb, accelerators };
    let group = |size, count, gang| Group { size, count, gang, ..Default::default() };
    let over = |group| limits.group_over_limit(&Spec { groups: vec![group], ..Default::default() });
    assert_eq!(over(group(size(1000, 1 << 40, 2), 50, false)), None, "0 is no limit");
    assert_eq!(over(group(size(1001, 1, 0), 1, false)), Some(0));
    assert_eq!(over(group(size(1, 1, 3), 1, false)), Some(0));
    assert_eq!(over(group(size(500, 1, 1), 2, true)), None);
    assert_eq!(over(group(size(500, 1, 0), 3, true)), Some(0), "a gang starts as a whole");
    let groups = vec![group(size(1, 1, 0), 1, false), group(size(2000, 1, 0), 1, false)];
    assert_eq!(limits.group_over_limit(&Spec { groups, ..Default::default() }), Some(1));
    assert_eq!(over(group(size(u64::MAX, 1, 0), u16::MAX, true)), Some(0), "no overflow");
}

/// Guards against digests of keys in full in logs and recordings.
#[test]
fn a_digest_is_printed_in_part() {
    let digest = KeyDigest::from([0xab; 32]);
    assert_eq!(format!("{digest:?}"), "abababab");
}

#[test]
fn answers_that_refuse_a_job_are_refusals() {
    let throttled = Answer::Throttled { retry: Duration::from_secs(1) };
    for answer in [Answer::Unauthorized, Answer::Conflict, throttled] {
        assert!(answer.is_refusal(), "{answer:?}");
    }
}
