//! Jobs submitted, shown and cancelled with the command-line tool for operators.

use bench::Fleet;

const CONFIG: &str = "\
[team ledgers]
processors = 64
memory-gb = 128.5
";

const JOBS: &str = "\
[job digest-1]
team = ledgers
processors = 1.5
memory-gb = 4
run-time-ms = 60000
";

/// Standard output of a run of the tool.
fn operate(fleet: &Fleet, daemon: usize, arguments: &[&str]) -> String {
    let output = fleet.daemons[daemon].operate(arguments).expect("the tool runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn submitter_of_a_job_that_no_worker_can_run_is_told_why_and_a_resend_gets_the_same_answer() {
    let mut fleet = Fleet::new(3, 3).expect("a fleet");
    fleet.start().expect("the fleet starts");
    fleet.apply(CONFIG).expect("the configuration is applied");
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("jobs.ini");
    std::fs::write(&file, JOBS).expect("the jobs are written");
    let submit = ["job", "submit", file.to_str().expect("a path in UTF-8")];
    let answer = "digest-1: can never run: labels: needs a worker, best is none\n";
    for daemon in 0..2 {
        assert_eq!(operate(&fleet, daemon, &submit), answer);
    }
    for daemon in [2, 0] {
        let cancelled = operate(&fleet, daemon, &["job", "cancel", "digest-1"]);
        assert_eq!(cancelled, "digest-1: cancelled\n");
    }
    assert_eq!(operate(&fleet, 0, &["job", "show", "digest-1"]), "digest-1: cancelled\n");
    assert!(operate(&fleet, 0, &["get"]).contains("memory-gb = 128.5"));
}
