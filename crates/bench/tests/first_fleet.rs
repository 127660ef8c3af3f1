//! End to end: daemons start, an upstream announces itself, a request is answered, a change is in
//! force.

use bench::Fleet;

const CONFIG: &str = "[service quotes]\n[kind quote]\nidempotent = true\n";

#[test]
fn request_is_answered_and_change_is_in_force_everywhere() {
    let mut fleet = Fleet::new(3, 3).unwrap();
    fleet.start().unwrap();
    let applied = fleet.apply(CONFIG).unwrap();
    assert_eq!(String::from_utf8_lossy(&applied.stdout), "accepted as revision 1\n");
    fleet.add_upstreams("quotes", 1, &[]).unwrap();
    for daemon in &fleet.daemons {
        let response = daemon.call("quotes", "quote", "one card").unwrap();
        assert_eq!(response.headers()["Sardinevalve-Outcome"], "run");
        let answer: serde_json::Value = serde_json::from_str(&response.text().unwrap()).unwrap();
        assert_eq!(answer["body"], "one card");
    }
    fleet.apply(&format!("{CONFIG}[kind payout]\n")).unwrap();
    for daemon in &fleet.daemons {
        assert_eq!(daemon.revision(), Some(2));
    }
}

#[test]
fn unknown_service_is_refused_as_not_run() {
    let mut fleet = Fleet::new(1, 1).unwrap();
    fleet.start().unwrap();
    let response = fleet.daemons[0].call("quotes", "quote", "").unwrap();
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()["Sardinevalve-Outcome"], "not-run");
    assert_eq!(response.text().unwrap(), r#"{"error":"service does not exist"}"#);
}

#[test]
fn invalid_configuration_is_refused_with_every_error_and_its_line() {
    let mut fleet = Fleet::new(1, 1).unwrap();
    fleet.start().unwrap();
    let path = fleet.folder().join("wrong.ini");
    std::fs::write(&path, "[service quotes]\nqueue = many\ncolour = red\n[planet mars]\n").unwrap();
    let output = fleet.daemons[0].operate(&["apply", &path.display().to_string()]).unwrap();
    let error = String::from_utf8_lossy(&output.stderr).replace(&path.display().to_string(), "F");
    insta::assert_snapshot!(error, @r"
    error: F:2: [service quotes] `queue`: invalid digit found in string
    F:3: [service quotes] `colour`: unknown key
    F:4: [planet mars] unknown section
    ");
}
