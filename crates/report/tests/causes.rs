//! Tests that the lateness of a job is attributed to what caused it.

use report::*;

/// A log of one leader from second 100 on, with these lines between.
fn report_of(lines: &[String]) -> Report {
    let mut text = line(100_000, "d1", "owns", "d1", "epoch 1") + "\n";
    for line in lines {
        text += line;
        text += "\n";
    }
    let mut log = Log::default();
    log.read(text.as_bytes()).expect("reading from memory does not fail");
    Report::new(log)
}

fn line(at_ms: u64, daemon: &str, what: &str, about: &str, why: &str) -> String {
    serde_json::json!({
        "at_ms": at_ms, "daemon": daemon, "what": what, "about": about, "why": why,
    })
    .to_string()
}

/// Summary of a job of 1000 ms declared, with an objective of 2000 ms, that took 5000 ms.
fn summary(times: &str) -> String {
    let why = format!(
        "completed, number 1, took 5000, objective 2000, first 10, last 10, declared 1000, \
         tasks 8, work 64000, {times}, queue q, organisation o"
    );
    line(110_000, "d1", "job-summary", "00000000000000aa", &why)
}

#[track_caller]
fn assert_cause(lines: &[String], cause: Cause) {
    let report = report_of(lines);
    let [job] = &report.late_jobs[..] else { panic!("one late job: {:?}", report.late_jobs) };
    assert_eq!(job.cause, cause, "{:?}", job.lateness_by_cause);
    assert_eq!(job.lateness_by_cause.sum(), job.lateness);
    assert_eq!(report.total.causes.get(cause), 1);
    assert_eq!(report.organisations.keys().collect::<Vec<_>>(), ["o"]);
}

#[test]
fn each_wait_has_its_cause() {
    for (wait, cause) in [
        ("no-orders", Cause::NoOrders),
        ("moving", Cause::Moving),
        ("late", Cause::LateWork),
        ("few", Cause::FewTasks),
        ("capacity", Cause::InTimeWork),
        ("organisation", Cause::Organisation),
        ("admission", Cause::Admission),
        ("placement", Cause::Unknown),
    ] {
        let times = format!("run 1500, wait-{wait} 2000, wait-nothing-known 1000, lost 500");
        assert_cause(&[summary(&times)], cause);
    }
}

#[test]
fn an_attempt_that_was_lost_is_the_cause_if_it_cost_most() {
    assert_cause(&[summary("run 1000, lost 2500, wait-moving 1500")], Cause::Attempt);
}

#[test]
fn tasks_that_run_longer_than_declared_are_the_cause_if_that_cost_most() {
    assert_cause(&[summary("run 4000, lost 0, wait-moving 1000")], Cause::Declared);
}

/// The leader `d1` is killed: its last line is at 106.0 s, and `d2` leads from 109.5 s on. The job
/// was submitted at 105.0 s.
fn killed_leader() -> [String; 2] {
    [line(106_000, "d1", "pool", "p", "capacity 1"), line(109_500, "d2", "owns", "d2", "epoch 2")]
}

#[test]
fn a_time_without_leader_is_the_cause_even_if_the_last_leader_logged_no_end() {
    let [last, owns] = killed_leader();
    // The other process of the killed daemon goes on writing lines.
    let gateway = line(108_000, "d1", "call-given-up", "", "");
    let job = summary("before 4500, run 500");
    assert_cause(&[last, gateway, owns, job], Cause::NoLeader);
}

#[test]
fn a_time_without_leader_costs_only_jobs_of_that_time() {
    let [last, owns] = killed_leader();
    let job = summary("before 0, run 1000, wait-late 4000");
    assert_cause(&[last, owns, job], Cause::LateWork);
}

#[test]
fn a_leader_that_resigns_ends_its_term_whatever_it_logs_later() {
    let lines = [
        line(106_000, "d1", "resigned", "d1", ""),
        line(109_000, "d1", "pool", "p", "capacity 1"),
        line(109_500, "d2", "owns", "d2", "epoch 2"),
        summary("before 4500, run 500"),
    ];
    assert_cause(&lines, Cause::NoLeader);
}

#[test]
fn the_time_under_an_earlier_leader_is_not_attributed() {
    let resigned = line(109_400, "d1", "resigned", "d1", "");
    let owns = line(109_500, "d2", "owns", "d2", "epoch 2");
    assert_cause(&[resigned, owns, summary("before 4500, run 500")], Cause::Unknown);
}

#[test]
fn a_job_that_failed_did_so_because_of_its_attempts() {
    let why = "failed, took 900, objective 2000, declared 1000, run 100, lost 300, wait-late 500, \
               queue q, organisation o";
    let line = line(110_000, "d1", "job-summary", "00000000000000aa", why);
    assert_cause(&[line], Cause::Attempt);
}

#[test]
fn lateness_is_split_in_proportion_to_what_each_cause_cost() {
    let report = report_of(&[summary("run 1000, wait-late 3000, wait-moving 1000")]);
    let job = &report.late_jobs[0];
    assert_eq!(job.lateness, 3000);
    assert_eq!(job.lateness_by_cause.get(Cause::LateWork), 2250);
    assert_eq!(job.lateness_by_cause.get(Cause::Moving), 750);
}

/// Guards against late jobs that go unnoticed on a log without their summaries.
#[test]
fn a_job_without_summary_is_late_for_an_unknown_reason() {
    let why = "completed in q, 5000 ms after submission, objective 2000 ms";
    let report = report_of(&[line(110_000, "d1", "job-over", "00000000000000aa", why)]);
    let expected = Attribution { late: 1, without_summary: 1, ..Attribution::default() };
    assert_eq!(report.attribution, expected);
    assert_eq!(report.late_jobs[0].cause, Cause::Unknown);
}

/// A `pool` line, and the summary of another job that tells which queue uses the pool.
fn waiting_pool(at: u64) -> [String; 2] {
    let why = "capacity 1, used 0, late 0, ready 1, continuous 0, instances 1, wait-late 1000";
    let summary = "completed, took 1, objective 2, pool p, queue q, organisation o";
    [line(at, "d1", "pool", "p", why), line(at, "d1", "job-summary", "b0", summary)]
}

#[test]
fn a_job_without_summary_is_charged_by_its_pool() {
    let why = "completed in q, 5000 ms after submission, objective 2000 ms";
    let [pool, other] = waiting_pool(107_000);
    let over = line(110_000, "d1", "job-over", "00000000000000aa", why);
    let report = report_of(&[pool, other, over]);
    let expected = Attribution { named: 1, late: 1, estimated: 1, without_summary: 1 };
    assert_eq!(report.attribution, expected);
    assert_eq!(report.late_jobs[0].cause, Cause::LateWork);
}

#[test]
fn the_time_under_an_earlier_leader_is_charged_by_the_pool() {
    let [pool, other] = waiting_pool(107_000);
    let resigned = line(109_400, "d1", "resigned", "d1", "");
    let owns = line(109_500, "d2", "owns", "d2", "epoch 2");
    assert_cause(&[pool, other, resigned, owns, summary("before 4500, run 500")], Cause::LateWork);
}

/// Guards against a charge by what the pool lacked at another time.
#[test]
fn a_pool_line_of_another_time_charges_no_job() {
    let [pool, other] = waiting_pool(103_000);
    let resigned = line(109_400, "d1", "resigned", "d1", "");
    let owns = line(109_500, "d2", "owns", "d2", "epoch 2");
    assert_cause(&[pool, other, resigned, owns, summary("before 4500, run 500")], Cause::Unknown);
}

#[test]
fn gaps_between_the_numbers_of_summaries_are_counted() {
    let numbered = |number: u64| {
        let why = format!("completed, number {number}, took 1, objective 2, queue q");
        line(110_000 + number, "d1", "job-summary", &format!("{number:016x}"), &why)
    };
    let report = report_of(&[numbered(2), numbered(3), numbered(7)]);
    assert_eq!(report.log.missing_summaries, 4);
    assert_eq!(report.total.jobs, 3);
}

#[test]
fn instance_seconds_are_split_by_use() {
    let why = "capacity 400000, used 160000, late 32000, backlog 0, arriving 0, idle 1, \
               ready 320000, continuous 64000, instances 10";
    let lines = [0, 1000, 9000].map(|at| line(101_000 + at, "d1", "pool", "p", why));
    let used = report_of(&lines).pools["p"];
    // One second to the second line, two at most to the third, and one for that.
    let expected = PoolUse { in_time: 12.0, late: 4.0, continuous: 8.0, idle: 16.0, moving: 10.0 };
    assert_eq!(used, expected);
}
