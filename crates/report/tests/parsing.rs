//! Tests that any input can be read.

use {proptest::prelude::*, report::*};

fn render(bytes: &[u8]) -> Report {
    let mut log = Log::default();
    log.read(bytes).expect("reading from memory does not fail");
    let report = Report::new(log);
    assert!(text(&report).lines().all(|line| line.chars().count() <= 100), "{}", text(&report));
    assert!(serde_json::from_str::<serde_json::Value>(&report.json()).is_ok());
    svg(&report).expect("drawing to memory does not fail");
    report
}

/// Part of a `why` text, often one that the report reads.
fn part() -> impl Strategy<Value = String> {
    let names = prop::sample::select(vec![
        "completed",
        "failed",
        "number",
        "took",
        "objective",
        "run",
        "declared",
        "lost",
        "before",
        "work",
        "wait-late",
        "wait-moving",
        "wait-other",
        "capacity",
        "used",
        "late",
        "ready",
        "continuous",
        "instances",
        "pool",
        "queue",
        "organisation",
    ]);
    let number = prop_oneof![
        any::<u64>().prop_map(|n| n.to_string()),
        (0_u64..5000).prop_map(|n| n.to_string()),
        "\\PC{0,6}",
    ];
    (names, number).prop_map(|(name, number)| format!("{name} {number}"))
}

fn log_line() -> impl Strategy<Value = String> {
    let kinds = prop::sample::select(vec![
        "job-summary",
        "job-over",
        "pool",
        "owns",
        "resigned",
        "leader-changed",
        "other",
    ]);
    let state = prop::sample::select(vec!["completed, ", "failed, ", "cancelled, ", ""]);
    let why = (state, prop::collection::vec(part(), 0..12))
        .prop_map(|(state, parts)| state.to_owned() + &parts.join(", "));
    let at = prop_oneof![any::<u64>(), 0_u64..100_000];
    (at, "[ab]", kinds, "\\PC{0,30}", why, any::<u64>()).prop_map(
        |(at_ms, daemon, what, about, why, dropped)| {
            serde_json::json!({
                "at_ms": at_ms, "daemon": daemon, "what": what, "about": about, "why": why,
                "dropped": dropped, "new-field": 1,
            })
            .to_string()
        },
    )
}

proptest! {
    #[test]
    fn any_bytes_can_be_read(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        render(&bytes);
    }

    #[test]
    fn any_log_lines_can_be_read(lines in prop::collection::vec(log_line(), 0..40)) {
        let report = render(lines.join("\n").as_bytes());
        prop_assert_eq!(report.log.lines, lines.len() as u64);
        prop_assert_eq!(report.total.late, report.late_jobs.len() as u64);
    }
}

#[test]
fn lines_may_follow_a_time_and_a_process_name() {
    let text = "built in 0.1 s\n  1.25 edge-1/voter {\"at_ms\":5,\"what\":\"owns\"}\n\
                {\"at_ms\":6,\"what\":\"ready\"}\n{\"at_ms\":";
    let report = render(text.as_bytes());
    let expected =
        LogSummary { lines: 4, not_parsed: 2, other_kinds: 1, terms: 1, ..LogSummary::default() };
    assert_eq!(report.log, expected);
}

/// Guards against memory that grows with a log without line breaks.
#[test]
fn a_line_that_is_too_long_is_skipped() {
    let long = format!("{}\n{{\"at_ms\":6,\"what\":\"owns\"}}\n", "x".repeat(3 << 20));
    let report = render(long.as_bytes());
    assert_eq!((report.log.lines, report.log.terms), (2, 1));
}
