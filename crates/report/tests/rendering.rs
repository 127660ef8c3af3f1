//! Snapshots of the report on the logs of two daemons, of which the first is killed while it leads.

use report::*;

fn report() -> Report {
    let mut log = Log::default();
    for text in [include_str!("logs/western.txt"), include_str!("logs/central.txt")] {
        log.read(text.as_bytes()).expect("reading from memory does not fail");
    }
    Report::new(log)
}

#[test]
fn text_report() {
    insta::assert_snapshot!(text(&report()));
}

#[test]
fn json_report() {
    insta::assert_snapshot!(report().json());
}

/// Guards against a drawing that leaves out a cause or a use of instances.
#[test]
fn image_names_what_it_draws() {
    let report = report();
    let image = svg(&report).expect("drawing to memory does not fail");
    let causes = Cause::ALL.into_iter().filter(|cause| report.total.causes.get(*cause) > 0);
    let names = causes.map(|cause| cause.to_string());
    let names: Vec<_> = names.chain(PoolUse::PARTS.map(String::from)).collect();
    assert_eq!(names.len(), 14, "{names:?}");
    for name in names {
        assert!(image.contains(&name), "{name} is missing");
    }
}
