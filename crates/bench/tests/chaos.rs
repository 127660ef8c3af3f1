//! The outcomes that callers are given match the record of the upstreams while processes are
//! killed.

use bench::Chaos;

#[test]
fn outcomes_match_the_record_while_processes_are_killed() {
    let chaos = Chaos { requests: 4000, callers: 24, kill_every_ms: 500, seed: 1 };
    let findings = chaos.run().unwrap();
    assert!(findings.run > 0 && findings.kills > 0, "{findings:?}");
    assert_eq!(findings.violations(), 0, "{findings:?}");
}
