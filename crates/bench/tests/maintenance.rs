//! Maintenance waves with real daemons and a fake platform, under calls that must not fail.

use {
    bench::{Fleet, wait_until},
    std::{
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        thread,
    },
};

const CONFIG: &str = "\
[service quotes]
[kind quote]
idempotent = true
deadline-ms = 10000
[pool quotes]
selector = service=quotes
[budget quotes]
selector = pool=quotes
max-unavailable = 2
[policy]
canary = 1
soak-ms = 200
";

/// Number of instances.
const COUNT: usize = 4;

/// Calls each daemon repeatedly from its own thread until `done`; returns the numbers of answers
/// and of failures.
fn call(fleet: &Fleet, done: &AtomicBool) -> (u64, u64) {
    let (answers, failures) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for daemon in &fleet.daemons {
            scope.spawn(|| {
                while !done.load(Ordering::Acquire) {
                    let response = daemon.call("quotes", "quote", "card");
                    let run = response.is_ok_and(|response| response.is_success());
                    if run { &answers } else { &failures }.fetch_add(1, Ordering::AcqRel);
                }
            });
        }
    });
    (answers.into_inner(), failures.into_inner())
}

fn finished(fleet: &Fleet, daemon: usize) -> bool {
    let output = fleet.daemons[daemon].operate(&["maintain", "status", "w"]);
    output.is_ok_and(|output| String::from_utf8_lossy(&output.stdout).contains("finished"))
}

fn start(arguments: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(3, 3).expect("a fleet can be prepared");
    fleet.start().expect("daemons start");
    fleet.apply(CONFIG).expect("the configuration is accepted");
    fleet.add_platform("quotes", COUNT, arguments).expect("the platform starts");
    fleet
}

/// Asserts that every instance was rebooted once, without cutting off a request.
fn assert_rebooted_once(fleet: &Fleet) {
    let machines = fleet.machines().expect("the platform answers");
    let machines = machines.as_object().expect("the platform reports by instance");
    assert_eq!(machines.len(), COUNT);
    for (instance, machine) in machines {
        assert_eq!(machine, &serde_json::json!({ "reboots": 1, "cut": 0 }), "{instance}");
    }
}

#[test]
fn wave_reboots_every_instance_once_and_callers_do_not_notice() {
    let fleet = start(&["--service-time-ms", "50", "--lose-every", "3"]);
    let done = AtomicBool::new(false);
    let (answers, failures) = thread::scope(|scope| {
        let calls = scope.spawn(|| call(&fleet, &done));
        let wave = ["maintain", "start", "w", "pool=quotes"];
        let output = fleet.daemons[0].operate(&wave).unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let ended = wait_until("the wave is finished", || finished(&fleet, 0));
        done.store(true, Ordering::Release);
        assert_eq!(text, "wave `w` is running, 4 instances to go\n");
        ended.unwrap();
        calls.join().unwrap()
    });
    assert!(answers > 0);
    assert_eq!(failures, 0);
    assert_rebooted_once(&fleet);
}

#[test]
fn wave_continues_under_a_new_leader_without_a_second_reboot() {
    let mut fleet = start(&["--reboot-ms", "2000"]);
    fleet.daemons[0].operate(&["maintain", "start", "w", "pool=quotes"]).unwrap();
    let rebooting = || {
        let status = fleet.daemons[0].status().unwrap_or_default().to_string();
        status.contains("rebooting")
    };
    wait_until("an instance reboots", rebooting).unwrap();
    wait_until("the leader is known", || fleet.leader().is_some()).unwrap();
    let leader = fleet.leader().unwrap();
    fleet.daemons[leader].kill();
    let other = (leader + 1) % fleet.daemons.len();
    wait_until("the wave is finished", || finished(&fleet, other)).unwrap();
    assert_rebooted_once(&fleet);
}

#[test]
fn decisions_about_an_instance_are_explained() {
    let fleet = start(&[]);
    fleet.daemons[0].operate(&["maintain", "start", "w", "instance=quotes-0"]).unwrap();
    wait_until("the wave is finished", || finished(&fleet, 0)).unwrap();
    let explain = |arguments: &[&str]| {
        let output = fleet.daemons[0].operate(&[&["explain"], arguments].concat()).unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let reasons = text.lines().map(|line| line.split_once(" s  ").map_or(line, |line| line.1));
        let time_dependent = ["incarnation", "is lapsed", "the platform accepted"];
        let reproducible = |line: &&str| !time_dependent.iter().any(|words| line.contains(words));
        reasons.filter(reproducible).collect::<Vec<_>>().join("\n")
    };
    insta::assert_snapshot!(explain(&["instance", "quotes-0"]), @r"
    instance `quotes-0`: in pool `quotes`
    instance `quotes-0`: joined pool `quotes` in epoch 1 (pool `quotes`)
    instance `quotes-0`: granted maintenance in wave `w`: every budget stays intact (wave `w`)
    instance `quotes-0`: drained, to be rebooted (wave `w`)
    instance `quotes-0`: returned from its reboot, proves itself
    instance `quotes-0`: maintained and available (wave `w`)
    ");
}

#[test]
fn configuration_round_trips_and_is_undone_by_a_new_change() {
    let mut fleet = Fleet::new(1, 1).unwrap();
    fleet.start().unwrap();
    fleet.apply(CONFIG).unwrap();
    let operate = |arguments: &[&str]| {
        let output = fleet.daemons[0].operate(arguments).unwrap();
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let before = operate(&["get"]);
    let file = fleet.folder().join("got.ini");
    std::fs::write(&file, &before).unwrap();
    let file = file.display().to_string();
    assert_eq!(operate(&["diff", &file]), "nothing differs from revision 1\n");
    assert_eq!(
        operate(&["label", "quotes-0", "tier=spare", "--request", "r"]),
        "accepted as revision 2\nwarning: pool `quotes` selects no instance\n\
         warning: budget `quotes` selects no instance\n"
    );
    assert_eq!(operate(&["diff", &file]), "-[instance quotes-0]\n-labels = tier=spare\n");
    let undone = operate(&["undo", "--request", "u"]);
    assert!(undone.starts_with("accepted as revision 3\n"));
    let after = operate(&["get"]);
    assert_eq!(after.replace("revision 3", "revision 1"), before);
    let history = operate(&["history"]);
    assert_eq!(history.lines().count(), 3);
}
