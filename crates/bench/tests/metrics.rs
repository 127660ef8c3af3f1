//! Metrics and log lines of a daemon about the requests that it answered.

use bench::{Fleet, wait_until};

const CONFIG: &str = "[service quotes]\n[kind quote]\nidempotent = true\n";

#[test]
fn requests_are_counted_by_outcome_and_tenant() {
    let mut fleet = Fleet::new(1, 1).unwrap();
    fleet.start().unwrap();
    fleet.apply(CONFIG).unwrap();
    fleet.add_upstreams("quotes", 1, &[]).unwrap();
    let daemon = &fleet.daemons[0];
    daemon.call("quotes", "quote", "one card").unwrap();
    daemon.call("unknown", "quote", "one card").unwrap();
    let mut text = String::new();
    let lines = [
        "sardinevalve_requests_total{outcome=\"run\",reason=\"\"} 1",
        "sardinevalve_requests_total{outcome=\"not-run\",reason=\"service does not exist\"} 1",
        "sardinevalve_tenant_request_seconds_count{tenant=\"none\"} 2",
        "sardinevalve_class_upstream_seconds_count{kind=\"quote\",service=\"quotes\"} 1",
        "sardinevalve_view 1",
        "sardinevalve_leader 1",
        "sardinevalve_revision 1",
        "sardinevalve_in_flight 0",
    ];
    wait_until("the metrics show both requests", || {
        let url = format!("http://{}/metrics", daemon.operators);
        text = attohttpc::get(url).send().unwrap().text().unwrap();
        lines.iter().all(|line| text.lines().any(|other| other == *line))
    })
    .unwrap_or_else(|error| panic!("{error}:\n{text}"));
}

#[test]
fn request_that_failed_is_logged_with_its_id_and_attempt() {
    let mut fleet = Fleet::new(1, 1).unwrap();
    fleet.start().unwrap();
    fleet.apply("[service quotes]\n[kind payout]\nidempotent = false\n").unwrap();
    fleet.add_upstreams("quotes", 1, &["--fault", "close"]).unwrap();
    let response = fleet.daemons[0].call("quotes", "payout", "one card").unwrap();
    let id = response.headers()["Sardinevalve-Request"].to_str().unwrap().to_owned();
    let log = std::fs::read_to_string(fleet.folder().join("daemon-1.log")).unwrap();
    let lines = log.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
    let messages: Vec<_> = lines
        .filter(|line| line["attributes"]["request"] == id.as_str())
        .map(|line| (line["level"].clone(), line["message"].clone()))
        .collect();
    assert_eq!(
        messages,
        [
            ("WARN".into(), "attempt failed".into()),
            ("WARN".into(), "outcome unknown: upstream gave no whole answer".into()),
        ]
    );
}
