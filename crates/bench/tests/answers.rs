//! Faults of upstreams: an incomplete answer is never passed to the caller. The outcome is
//! `unknown`, or the request is retried if its kind is idempotent.

#![allow(clippy::unwrap_used)]

use {
    bench::Fleet,
    std::{collections::BTreeMap, fs},
};

const CONFIG: &str = "\
[service quotes]
[kind quote]
idempotent = true
deadline-ms = 4000
[kind payout]
idempotent = false
deadline-ms = 4000
";

/// Starts one daemon with `count` upstreams that have `fault`.
fn fleet(fault: &str, count: usize) -> Fleet {
    let mut fleet = Fleet::new(1, 1).unwrap();
    fleet.start().unwrap();
    fleet.apply(CONFIG).unwrap();
    let record = record(&fleet);
    let arguments = ["--fault", fault, "--suffix", "bad", "--record", &record];
    fleet.add_upstreams("quotes", count, &arguments).unwrap();
    fleet
}

/// Path of the file in which the upstreams record their runs.
fn record(fleet: &Fleet) -> String {
    fleet.folder().join("record").display().to_string()
}

/// Number of runs of each request, by its id.
fn runs(fleet: &Fleet) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for line in fs::read_to_string(record(fleet)).unwrap().lines() {
        let run: serde_json::Value = serde_json::from_str(line).unwrap();
        *runs.entry(run["request"].as_str().unwrap().to_owned()).or_default() += 1;
    }
    runs
}

/// Status, outcome and request id of the answer to a call.
fn call(fleet: &Fleet, kind: &str) -> (u16, String, String) {
    let response = fleet.daemons[0].call("quotes", kind, "one card").unwrap();
    let header = |name: &str| response.headers()[name].to_str().unwrap().to_owned();
    let (outcome, id) = (header("Sardinevalve-Outcome"), header("Sardinevalve-Request"));
    (response.status().as_u16(), outcome, id)
}

fn assert_unknown_after_one_run(fault: &str, status: u16) {
    let fleet = fleet(fault, 2);
    let (actual, outcome, id) = call(&fleet, "payout");
    assert_eq!((actual, outcome.as_str()), (status, "unknown"), "{fault}");
    assert_eq!(runs(&fleet), BTreeMap::from([(id, 1)]), "{fault}");
}

#[test]
fn answer_shorter_than_its_content_length_is_unknown() {
    assert_unknown_after_one_run("truncate-length", 502);
}

#[test]
fn answer_without_its_last_chunk_is_unknown() {
    assert_unknown_after_one_run("truncate-chunked", 502);
}

#[test]
fn answer_that_ends_with_the_connection_is_unknown() {
    assert_unknown_after_one_run("close", 502);
}

#[test]
fn reset_connection_is_unknown() {
    assert_unknown_after_one_run("reset", 502);
}

#[test]
fn answer_of_a_process_that_dies_is_unknown() {
    assert_unknown_after_one_run("die-mid-answer", 502);
}

#[test]
fn answer_after_the_deadline_is_unknown() {
    assert_unknown_after_one_run("late", 504);
}

#[test]
fn redirect_is_passed_on_and_not_followed() {
    let fleet = fleet("redirect", 2);
    let (status, outcome, id) = call(&fleet, "payout");
    assert_eq!((status, outcome.as_str()), (307, "run"));
    assert_eq!(runs(&fleet), BTreeMap::from([(id, 1)]));
}

#[test]
fn idempotent_request_is_retried_until_an_answer_is_complete() {
    for fault in ["truncate-length", "truncate-chunked", "close", "reset"] {
        let mut fleet = fleet(fault, 1);
        fleet.add_upstreams("quotes", 3, &[]).unwrap();
        for _ in 0..8 {
            let response = fleet.daemons[0].call("quotes", "quote", "one card").unwrap();
            assert_eq!(response.headers()["Sardinevalve-Outcome"], "run", "{fault}");
            let answer: serde_json::Value =
                serde_json::from_str(&response.text().unwrap()).unwrap();
            assert_eq!(answer["body"], "one card", "{fault}");
        }
    }
}

#[test]
fn unreachable_upstream_is_not_run() {
    let mut fleet = fleet("slow", 1);
    fleet.fakes[0].kill();
    let (status, outcome, _) = call(&fleet, "payout");
    assert_eq!((status, outcome.as_str()), (503, "not-run"));
    assert_eq!(runs(&fleet), BTreeMap::new());
}
