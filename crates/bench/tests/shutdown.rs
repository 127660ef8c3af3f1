//! A planned stop waits for the requests in flight; after a second signal, the daemon stops at once
//! and logs the requests that it cuts off.

#![allow(clippy::unwrap_used)]

use {
    bench::{Fleet, wait_until},
    std::{fs, thread},
};

const CONFIG: &str = "[service quotes]\n[kind payout]\nidempotent = false\ndeadline-ms = 50000\n";

/// Concurrent callers of the daemon that is stopped; the upstreams have as many slots, 8 each.
const CALLERS: usize = 16;

/// Starts three daemons with the settings `stop` for their stops, and upstreams that take
/// `service_time_ms` per request.
fn fleet(stop: &str, service_time_ms: &str) -> Fleet {
    let mut fleet = Fleet::new(3, 3).unwrap();
    for daemon in &fleet.daemons {
        let path = fleet.folder().join(format!("{}.ini", daemon.name));
        let text = fs::read_to_string(&path).unwrap();
        fs::write(&path, text.replace("[daemon]\n", &format!("[daemon]\n{stop}\n"))).unwrap();
    }
    fleet.start().unwrap();
    fleet.apply(CONFIG).unwrap();
    let record = fleet.folder().join("record").display().to_string();
    let arguments = ["--service-time-ms", service_time_ms, "--record", &record];
    fleet.add_upstreams("quotes", CALLERS / 8, &arguments).unwrap();
    fleet
}

/// Number of requests that the upstreams have recorded.
fn recorded(fleet: &Fleet) -> usize {
    let record = fs::read_to_string(fleet.folder().join("record")).unwrap_or_default();
    record.lines().count()
}

/// Calls until the daemon refuses, and returns the number of answered calls. A call that is neither
/// answered nor refused gives an error.
fn call_until_refused(daemon: &bench::Daemon) -> eyre::Result<usize> {
    let mut answered = 0;
    loop {
        let response = match daemon.call("quotes", "payout", "one card") {
            Err(error) if is_refused(&error) => return Ok(answered),
            response => response?,
        };
        match response.headers()["Sardinevalve-Outcome"].to_str()? {
            "run" => answered += 1,
            "not-run" => return Ok(answered),
            other => eyre::bail!("outcome `{other}`"),
        }
    }
}

/// Whether the connection was refused, since nothing listens at the address any more.
fn is_refused(error: &eyre::Report) -> bool {
    let Some(error) = error.downcast_ref::<attohttpc::Error>() else { return false };
    let attohttpc::ErrorKind::Io(error) = error.kind() else { return false };
    error.kind() == std::io::ErrorKind::ConnectionRefused
}

#[test]
fn requests_in_flight_are_answered() {
    let mut fleet = fleet("stop-grace-ms = 1000", "200");
    let mut program = fleet.daemons[2].take_program().unwrap();
    let answered: usize = thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CALLERS).map(|_| scope.spawn(|| call_until_refused(&fleet.daemons[2]))).collect();
        wait_until("the burst is in flight", || recorded(&fleet) >= CALLERS).unwrap();
        program.signal("TERM").unwrap();
        callers.into_iter().map(|caller| caller.join().unwrap().unwrap()).sum()
    });
    assert_eq!(program.wait().unwrap(), Some(0));
    assert_eq!(answered, recorded(&fleet), "every request that ran was answered");
}

#[test]
fn health_fails_before_requests_are_refused() {
    let mut fleet = fleet("stop-grace-ms = 30000", "1");
    fleet.daemons[2].program().unwrap().signal("TERM").unwrap();
    wait_until("the health check fails", || !fleet.daemons[2].healthy()).unwrap();
    let response = fleet.daemons[2].call("quotes", "payout", "one card").unwrap();
    assert_eq!(response.headers()["Sardinevalve-Outcome"], "run");
    assert!(fleet.daemons[0].healthy());
}

#[test]
fn second_signal_stops_at_once_and_logs_the_cut_off_requests() {
    let mut fleet = fleet("stop-grace-ms = 1000", "40000");
    let address = fleet.daemons[2].callers.clone();
    let caller = thread::spawn(move || {
        let url = format!("http://{address}/call/quotes/");
        attohttpc::post(url).header("Sardinevalve-Kind", "payout").send()
    });
    wait_until("the request runs", || recorded(&fleet) == 1).unwrap();
    let program = fleet.daemons[2].program().unwrap();
    program.signal("TERM").unwrap();
    let log = fleet.folder().join("daemon-3.log");
    wait_until("the daemon stops", || {
        fs::read_to_string(&log).unwrap().contains("stopping after the requests in flight")
    })
    .unwrap();
    let program = fleet.daemons[2].program().unwrap();
    program.signal("TERM").unwrap();
    assert_eq!(program.wait().unwrap(), Some(4));
    assert!(caller.join().unwrap().is_err());
    let log = fs::read_to_string(log).unwrap();
    let last: serde_json::Value = serde_json::from_str(log.lines().last().unwrap()).unwrap();
    assert_eq!(last["message"], "stopped at once, requests are cut off");
    assert_eq!(last["attributes"]["count"], "1");
    let ids = last["attributes"]["requests"].as_str().unwrap();
    assert!(ids.starts_with("daemon-3-"), "{ids}");
}

#[test]
fn a_request_of_a_slow_upstream_is_answered_before_the_platform_kills_the_daemon() {
    let mut fleet = fleet("stop-grace-ms = 1000\nstop-limit-ms = 3000", "40000");
    let address = fleet.daemons[2].callers.clone();
    let caller = thread::spawn(move || {
        let url = format!("http://{address}/call/quotes/");
        attohttpc::post(url).header("Sardinevalve-Kind", "payout").send()
    });
    wait_until("the request runs", || recorded(&fleet) == 1).unwrap();
    let program = fleet.daemons[2].program().unwrap();
    program.signal("TERM").unwrap();
    assert_eq!(program.wait().unwrap(), Some(0));
    let response = caller.join().unwrap().unwrap();
    assert_eq!(response.status().as_u16(), 504);
    assert_eq!(response.headers()["Sardinevalve-Outcome"], "unknown");
    assert_eq!(response.headers()["Connection"], "close");
}

#[test]
fn answers_of_a_stopping_daemon_close_their_connections() {
    let mut fleet = fleet("stop-grace-ms = 30000", "1");
    let response = fleet.daemons[2].call("quotes", "payout", "one card").unwrap();
    assert!(!response.headers().contains_key("Connection"));
    fleet.daemons[2].program().unwrap().signal("TERM").unwrap();
    wait_until("the health check fails", || !fleet.daemons[2].healthy()).unwrap();
    let response = fleet.daemons[2].call("quotes", "payout", "one card").unwrap();
    assert_eq!(response.headers()["Sardinevalve-Outcome"], "run");
    assert_eq!(response.headers()["Connection"], "close");
    let answer: serde_json::Value = response.json().unwrap();
    assert_eq!(answer["body"], "one card");
}
