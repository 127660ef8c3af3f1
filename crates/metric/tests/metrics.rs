//! Tests of the metrics as encoded text.

use {
    metric::{Gauges, Metrics, Observation},
    std::time::Duration,
};

fn observation(tenant: &str) -> Observation<'_> {
    Observation {
        tenant,
        kind: "quote",
        service: "quotes",
        outcome: "run",
        reason: "",
        total: Duration::from_millis(3),
        queued: Some(Duration::from_millis(1)),
        upstream: Some(Duration::from_millis(2)),
    }
}

#[test]
fn requests_and_state_are_shown() {
    let metrics = Metrics::new();
    metrics.observe(&observation("okafor"));
    metrics.observe(&Observation {
        outcome: "not-run",
        reason: "queue is full",
        queued: None,
        upstream: None,
        ..observation("okafor")
    });
    let gauges = Gauges { in_flight: 3, view: true, revision: 7, ..Gauges::default() };
    let text = metrics.encode(&gauges);
    for line in [
        "sardinevalve_requests_total{outcome=\"run\",reason=\"\"} 1",
        "sardinevalve_requests_total{outcome=\"not-run\",reason=\"queue is full\"} 1",
        "sardinevalve_tenant_request_seconds_count{tenant=\"okafor\"} 2",
        "sardinevalve_tenant_queue_seconds_count{tenant=\"okafor\"} 1",
        "sardinevalve_class_upstream_seconds_count{kind=\"quote\",service=\"quotes\"} 1",
        "sardinevalve_in_flight 3",
        "sardinevalve_view 1",
        "sardinevalve_revision 7",
    ] {
        assert!(text.lines().any(|other| other == line), "`{line}` is missing in:\n{text}");
    }
}

#[test]
fn label_values_of_callers_are_bounded() {
    let metrics = Metrics::new();
    for i in 0..1000 {
        metrics.observe(&observation(&format!("tenant-{i}")));
    }
    let text = metrics.encode(&Gauges::default());
    let counts =
        text.lines().filter(|l| l.starts_with("sardinevalve_tenant_request_seconds_count"));
    assert_eq!(counts.count(), 65);
    let other = "sardinevalve_tenant_request_seconds_count{tenant=\"other\"} 936";
    assert!(text.lines().any(|line| line == other), "{text}");
}
