//! The script cases. Each returns 1 if the rule was broken, 0 if it held, and 2 if it could not run.

use super::fleet::{Fleet, HOST, PREFIX};
use std::time::Duration;

/// `finish_s`: after the end of the traffic, jobs are asked for this much later.
const FINISH: f64 = 14.0;

/// Whether the disruption is part of the play.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A configuration with the queue of the clients and `others` routes that nobody uses.
fn config(version: u64, others: usize, timeout_ms: u64) -> String {
    let route = |name: String, host: String, prefix: String, slo: u64| {
        format!(
            r#"{{"name":"{name}","host":"{host}","path-prefix":"{prefix}","kind":"unsafe","timeout-ms":{timeout_ms},"slo-ms":{slo},"priority":0,"service":"work","max-attempts":4,"stretch":1.6}}"#
        )
    };
    let mut routes = vec![route("r-main".into(), HOST.into(), PREFIX.into(), 600)];
    routes.extend((0..others).map(|i| {
        let host = format!("partner-shop-{:03}.buylist.example", i % 400);
        route(format!("r-{i:07}"), host, format!("/partner-quote/lagos-yaba/{i:06}/"), 2500)
    }));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"work","health-path":"/health","max-connections":64,"protocol":"h1","tls":false,"admission-check":true,"spare":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#,
        routes.join(",")
    )
}

/// A configuration with two queues.
fn two_queues(version: u64) -> String {
    let other = format!(
        r#"{{"name":"r-other","host":"{HOST}","path-prefix":"{OTHER_PREFIX}","kind":"unsafe","timeout-ms":3000,"slo-ms":600,"priority":0,"service":"work","max-attempts":4,"stretch":1.6}},"#
    );
    config(version, 0, 3000).replacen(r#""routes":["#, &format!(r#""routes":[{other}"#), 1)
}

/// Prefix of a second queue.
const OTHER_PREFIX: &str = "/kafi706/";

/// Sends a configuration as the operator does: unchanged, to one node after the other, until it has a
/// clear answer or `limit` is over. Returns the status, if any.
fn put(fleet: &mut Fleet, body: &str, what: &str, limit: Duration) -> Option<u16> {
    let begun = fleet.time();
    let mut tries = 0;
    let mut answer = None;
    while fleet.time() < begun + limit.as_secs_f64() {
        let machine = 1 + tries % 3;
        tries += 1;
        let timeout = Duration::from_millis(1000 + body.len() as u64 / 1000);
        let status = fleet.operator(machine, "POST", "Config.Put", body, timeout).map(|(s, _)| s);
        if matches!(status, Some(200 | 400 | 409 | 412 | 413 | 422)) {
            answer = status;
            break;
        }
        fleet.note(&format!("operator: {what} to machine {machine}: {status:?}"));
        std::thread::sleep(Duration::from_millis(200));
    }
    let took = fleet.time() - begun;
    let size = body.len();
    fleet.note(&format!("operator: {what}, {size} bytes: {answer:?} after {took:.3} s, {tries} tries"));
    answer
}

/// Starts a fleet, puts the first configuration in force, and waits until it is ready.
fn prepare(folder: &str, runners: usize) -> Option<Fleet> {
    let Some(mut fleet) = Fleet::start(folder, runners) else {
        eprintln!("the fleet does not start here");
        return None;
    };
    let first = put(&mut fleet, &config(1, 0, 3000), "version 1", Duration::from_secs(15));
    let ready = fleet.wait(Duration::from_secs(10), |fleet| fleet.is_ready());
    if first != Some(200) || !ready {
        fleet.note("the fleet is not ready");
        fleet.record_logs(&["error", "founding", "owns"]);
        return None;
    }
    // Every runner has sent a heartbeat by then.
    std::thread::sleep(Duration::from_secs(3));
    Some(fleet)
}

/// Routes that one change adds: the count of `big_config` on the small site.
const GROWTH: usize = 350;
/// Number of changes.
const CHANGES: u64 = 42;

/// The configuration grows change by change, while an accepted job works on its first step.
pub fn config_growth(folder: &str) -> i32 {
    let trouble = has_trouble();
    let Some(mut fleet) = prepare(folder, 9) else { return 2 };
    let (first, last) = ("5c0e7a21d94b36f8.0.0.0", "5c0e7a21d94b36f8.0.1.0");
    let id = "5c0e7a21d94b36f8";
    let job = r#"{"spec":"45000,1000","steps":[{"count":1,"cpu":3500,"mem-mb":3600,"estimated-ms":45000},{"count":1,"cpu":3500,"mem-mb":3600,"estimated-ms":1000,"after":[0]}]}"#;
    let accepted = fleet.submit(id, job);
    if !accepted || !fleet.wait(Duration::from_secs(5), |fleet| fleet.runner_of(first).is_some()) {
        fleet.note("the job does not start");
        return 2;
    }
    for change in 1..=CHANGES {
        let others = if trouble { change as usize * GROWTH } else { 0 };
        let body = config(1 + change, others, 3000 + change);
        let what = format!("version {}, {} routes", 1 + change, others + 1);
        if put(&mut fleet, &body, &what, Duration::from_secs(12)) != Some(200) {
            break;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    let small = r#"{"spec":"300","steps":[{"count":1,"cpu":3500,"mem-mb":3600,"estimated-ms":300}]}"#;
    let later = fleet.submit("00000000000000a1", small);
    fleet.note(&format!("a later job was accepted: {later}; here the traffic ends"));
    let traffic_end = fleet.time();
    let ended = |fleet: &mut Fleet| {
        fleet.runs().iter().any(|line| line.contains(&format!("end {first} ")) && line.ends_with("done"))
    };
    if !fleet.wait(Duration::from_secs(60), ended) {
        fleet.note("the first step has not ended");
        fleet.record_logs(&["owns", "resigned"]);
        return 2;
    }
    let step_end = fleet.time();
    fleet.note("the first step has ended; the turn of the second has come, on 9 idle runners");
    // Asked for `finish_s` after the traffic, when the turn has come for longer than 3 s.
    let at = (traffic_end + FINISH).max(step_end + 10.0);
    while fleet.time() < at {
        std::thread::sleep(Duration::from_millis(50));
    }
    let state = fleet.state(id);
    let started = fleet.runs().iter().any(|line| line.contains(&format!("start {last} ")));
    let waited = fleet.time() - step_end;
    let broken = !started;
    fleet.note(&format!(
        "second step started: {started}, {waited:.1} s after its turn came; the job is `{state}`; \
         rule {}",
        if broken { "BROKEN" } else { "kept" }
    ));
    fleet.record_logs(&["\"owns\"", "resigned", "lease-", "message-not-sent", "call-given-up"]);
    i32::from(broken)
}

/// A machine is stopped while calls wait for a configuration that has grown.
pub fn restart(folder: &str) -> i32 {
    let trouble = has_trouble();
    let Some(mut fleet) = prepare(folder, 9) else { return 2 };
    for change in 1..=CHANGES {
        let others = if trouble { change as usize * GROWTH } else { 0 };
        let body = config(1 + change, others, 3000 + change);
        let what = format!("version {}, {} routes", 1 + change, others + 1);
        if put(&mut fleet, &body, &what, Duration::from_secs(6)) != Some(200) {
            break;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    let machine = 1 + fleet.leader() % 3;
    let mut answered = true;
    let mut waited = 0.0;
    let Some(mut session) = fleet.open_session(machine) else { return 2 };
    let probe = session.call("GET", &format!("{PREFIX}00000000000000b0"), HOST, "", DEADLINE);
    fleet.note(&format!("client: opens a connection to machine {machine}; GET: {probe:?}"));
    if probe.is_err() {
        return 2;
    }
    if trouble {
        fleet.note(&format!("machine {machine}, which does not lead, gets SIGTERM"));
        fleet.terminate(machine);
    }
    // The platform gives it `grace-s`, 6 s. The client still has its connection.
    std::thread::sleep(Duration::from_millis(2300));
    let job = r#"{"spec":"300","steps":[{"count":1,"cpu":3500,"mem-mb":3600,"estimated-ms":300}]}"#;
    let sent = fleet.time();
    fleet.note(&format!("client: POST to machine {machine}, with {} ms to answer", DEADLINE.as_millis()));
    let answer = session.call("POST", &format!("{PREFIX}00000000000000b1"), HOST, job, DEADLINE);
    if let Err(error) = &answer {
        waited = fleet.time() - sent;
        answered = waited >= DEADLINE.as_secs_f64() || error.starts_with("not sent");
    }
    // A connection that ends within `loss-slack-ms` of the request does not count.
    let broken = !answered && waited > 0.2;
    fleet.note(&format!(
        "client: {answer:?} after {:.3} s; rule {}",
        fleet.time() - sent,
        if broken { "BROKEN" } else { "kept" }
    ));
    fleet.record_logs(&["\"owns\"", "resigned", "stopping", "stopped"]);
    i32::from(broken)
}

/// Clients of two queues choose the same id.
pub fn same_id(folder: &str) -> i32 {
    let trouble = has_trouble();
    let Some(mut fleet) = prepare(folder, 9) else { return 2 };
    if put(&mut fleet, &two_queues(2), "version 2, two queues", Duration::from_secs(6)) != Some(200) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(2));
    let ids = ["0000000000012345", if trouble { "0000000000012345" } else { "0000000000012346" }];
    let mut call = |machine: usize, method: &str, queue: usize, body: &str| {
        let path = format!("{}{}", [PREFIX, OTHER_PREFIX][queue], ids[queue]);
        let answer = fleet.open_session(machine).map(|mut session| {
            session.call(method, &path, HOST, body, DEADLINE)
        });
        fleet.note(&format!("client: {method} {path} at machine {machine}: {answer:?}"));
        answer.and_then(Result::ok)
    };
    let job = |spec: &str| {
        format!(r#"{{"spec":"{spec}","steps":[{{"count":1,"cpu":3500,"mem-mb":3600,"estimated-ms":400}}]}}"#)
    };
    let accepted: Vec<_> = (0..2)
        .map(|queue| {
            let answer = call(1 + queue, "POST", queue, &job(["400", "500"][queue]));
            answer.is_some_and(|(status, _)| (200..300).contains(&status))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(5));
    let states: Vec<_> = (0..2).map(|queue| call(3, "GET", queue, "")).collect();
    let is_gone = |queue: &usize| {
        accepted[*queue] && states[*queue].as_ref().is_some_and(|(status, _)| *status == 410)
    };
    let broken = (0..2).any(|queue| is_gone(&queue));
    let starts = fleet.runs().iter().filter(|line| line.contains(" start ")).count();
    fleet.note(&format!(
        "accepted: {accepted:?}; {starts} tasks have started, asked for 5 s after the acknowledgement; \
         rule {}",
        if broken { "BROKEN" } else { "kept" }
    ));
    fleet.record_logs(&["job-accepted", "job-over"]);
    if !accepted[0] { 2 } else { i32::from(broken) }
}

/// Time that the client waits, as the pages give it for all kinds of request.
const DEADLINE: Duration = Duration::from_millis(3000);

/// Crashes of the runner of one lasting task.
const CRASHES: usize = 6;

/// A job that lasts is handed in; the runner that works on its first task crashes again and again, one
/// of nine at a time.
pub fn runner_crashes(folder: &str) -> i32 {
    let trouble = has_trouble();
    let Some(mut fleet) = prepare(folder, 9) else { return 2 };
    let id = "9f31c07be2a4d685";
    let task = format!("{id}.0.0.0");
    let job = r#"{"spec":"0","steps":[{"count":5,"cpu":5400,"mem-mb":9700,"estimated-ms":900,"long-running":true}]}"#;
    let all_run = |fleet: &mut Fleet| (0..5).all(|i| fleet.runner_of(&format!("{id}.0.0.{i}")).is_some());
    if !fleet.submit(id, job) || !fleet.wait(Duration::from_secs(5), all_run) {
        fleet.note("the job does not start");
        return 2;
    }
    let mut state = String::new();
    for crash in 1..=CRASHES {
        // The task has worked for a while when its runner crashes.
        std::thread::sleep(Duration::from_secs(4));
        let Some(runner) = fleet.runner_of(&task) else {
            fleet.note(&format!("{task} runs nowhere"));
            break;
        };
        if trouble {
            fleet.note(&format!("crash {crash}: the runner of machine {runner} of 9, which runs {task}"));
            fleet.crash_runner(runner);
            std::thread::sleep(Duration::from_secs(3));
            fleet.start_runner(runner);
            fleet.note(&format!("machine {runner} has a new runner"));
        } else {
            std::thread::sleep(Duration::from_secs(3));
        }
        let back = fleet.wait(Duration::from_secs(6), |fleet| fleet.runner_of(&task).is_some());
        state = fleet.state(id);
        fleet.note(&format!("{task} runs again: {back}; the job is `{state}`"));
        if !back {
            break;
        }
    }
    // Nothing is disrupted any more, and nine runners are idle.
    std::thread::sleep(Duration::from_secs(8));
    let runs = fleet.runner_of(&task).is_some();
    let failed = fleet.runs().iter().filter(|line| line.ends_with("failed")).count();
    if state != "no answer" {
        state = fleet.state(id);
    }
    let broken = state == "failed" && failed == 0;
    fleet.note(&format!(
        "{task} runs: {runs}; {failed} runs have ended `failed`; the job, which nobody has cancelled, \
         is `{state}`; rule {}",
        if broken { "BROKEN" } else { "kept" }
    ));
    fleet.record_logs(&["task-crashed", "instance-lost", "job-over"]);
    i32::from(broken)
}
