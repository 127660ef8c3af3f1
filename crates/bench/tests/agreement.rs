//! Consensus among real daemons under kills, pauses, network partitions and conflicting operators.

#![allow(clippy::unwrap_used)]

use bench::{Fleet, wait_until};

const CONFIG: &str = "[service quotes]\n[kind quote]\nidempotent = true\n";

/// Starts `count` daemons, three of which are voters, with a configuration.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count, 3).unwrap();
    fleet.start().unwrap();
    let applied = fleet.apply(CONFIG).unwrap();
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    fleet
}

fn leader(fleet: &Fleet) -> usize {
    let mut leader = None;
    wait_until("a daemon leads", || {
        leader = fleet.leader();
        leader.is_some()
    })
    .unwrap();
    leader.unwrap()
}

/// Adds a tenant through `daemon`; returns exit code and output of the command-line tool.
fn change(fleet: &Fleet, daemon: usize, arguments: &[&str]) -> (Option<i32>, String) {
    let path = fleet.folder().join("change.ini");
    std::fs::write(&path, format!("{CONFIG}[tenant shop]\n")).unwrap();
    let path = path.display().to_string();
    let output = fleet.daemons[daemon].operate(&[&["apply", &path], arguments].concat()).unwrap();
    eprint!("{}", String::from_utf8_lossy(&output.stderr));
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn change_is_accepted_after_the_leader_is_killed() {
    let mut fleet = fleet(4);
    let leader = leader(&fleet);
    fleet.daemons[leader].kill();
    let survivor = (leader + 1) % 3;
    assert_eq!(change(&fleet, survivor, &["--wait"]).1, "accepted as revision 2\n");
    fleet.daemons[leader].start().unwrap();
    fleet.wait_healthy().unwrap();
    assert_eq!(fleet.daemons[leader].revision(), Some(2));
}

#[test]
fn accepted_change_survives_the_restart_of_every_daemon_at_once() {
    let mut fleet = fleet(3);
    change(&fleet, 0, &["--wait"]);
    fleet.daemons.iter_mut().for_each(bench::Daemon::kill);
    fleet.start().unwrap();
    for daemon in &fleet.daemons {
        assert_eq!(daemon.revision(), Some(2));
    }
}

#[test]
fn partitioned_daemon_refuses_as_not_run_and_recovers() {
    let mut fleet = fleet(4);
    fleet.add_upstreams("quotes", 1, &[]).unwrap();
    fleet.network.partition(&[3]);
    wait_until("the health check fails", || !fleet.daemons[3].healthy()).unwrap();
    let response = fleet.daemons[3].call("quotes", "quote", "").unwrap();
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()["Sardinevalve-Outcome"], "not-run");
    assert_eq!(change(&fleet, 0, &["--wait"]).1, "accepted as revision 2\n");
    assert_eq!(fleet.daemons[3].revision(), Some(1));
    fleet.network.heal();
    fleet.wait_healthy().unwrap();
    assert_eq!(fleet.daemons[3].revision(), Some(2));
}

#[test]
fn partitioned_leader_steps_down_and_accepts_nothing() {
    let fleet = fleet(3);
    let leader = leader(&fleet);
    fleet.network.partition(&[leader]);
    let (code, _) = change(&fleet, leader, &["--base", "1", "--request", "cut-off"]);
    assert_eq!(code, Some(1));
    let (_, verdict) = change(&fleet, (leader + 1) % 3, &["--base", "1", "--request", "other"]);
    assert_eq!(verdict, "accepted as revision 2\n");
    fleet.network.heal();
    fleet.wait_healthy().unwrap();
    assert_eq!(fleet.daemons[leader].revision(), Some(2));
}

#[test]
fn paused_leader_resumes_without_reverting_a_change() {
    let mut fleet = fleet(3);
    let leader = leader(&fleet);
    fleet.daemons[leader].program().unwrap().signal("STOP").unwrap();
    let (_, verdict) = change(&fleet, (leader + 1) % 3, &["--wait"]);
    assert_eq!(verdict, "accepted as revision 2\n");
    fleet.daemons[leader].program().unwrap().signal("CONT").unwrap();
    fleet.wait_healthy().unwrap();
    wait_until("the former leader follows", || fleet.daemons[leader].revision() == Some(2))
        .unwrap();
}

#[test]
fn of_two_changes_with_the_same_base_one_is_accepted_and_the_other_refused() {
    let fleet = fleet(3);
    let first = change(&fleet, 0, &["--base", "1", "--request", "a", "--author", "ada"]);
    let second = change(&fleet, 1, &["--base", "1", "--request", "b", "--author", "ben"]);
    assert_eq!(first, (Some(0), "accepted as revision 2\n".into()));
    let refused = "refused: `ada` made revision 2 with request `a`\n";
    assert_eq!(second, (Some(5), refused.into()));
}

#[test]
fn resent_request_gets_the_first_answer() {
    let fleet = fleet(3);
    let first = change(&fleet, 0, &["--base", "1", "--request", "a", "--wait"]);
    change(&fleet, 1, &["--request", "b"]);
    let again = change(&fleet, 2, &["--base", "1", "--request", "a"]);
    assert_eq!(first, again);
    assert_eq!(fleet.daemons[0].revision(), Some(3));
}
