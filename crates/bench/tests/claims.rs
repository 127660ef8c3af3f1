//! Non-idempotent requests through real daemons: resends, reuse of an idempotency key for another
//! body, and a crash of the daemon that holds the answer.

use bench::Fleet;

const CONFIG: &str = "[service bank]\n[kind payout]\nidempotent = false\ndeadline-ms = 5000\n";

/// Status, outcome and body of the answer to a payout.
fn pay(fleet: &Fleet, daemon: usize, key: &str, body: &str) -> (u16, String, String) {
    let url = format!("http://{}/call/bank/pay", fleet.daemons[daemon].callers);
    let request = attohttpc::post(url)
        .header("Sardinevalve-Kind", "payout")
        .header("Sardinevalve-Tenant", "shop")
        .header("Idempotency-Key", key)
        .text(body);
    let response = request.send().expect("daemon answers");
    let outcome =
        response.headers()["Sardinevalve-Outcome"].to_str().expect("header is text").to_owned();
    (response.status().as_u16(), outcome, response.text().expect("answer is complete"))
}

#[test]
fn payout_runs_once_through_every_daemon_and_a_crash() {
    let mut fleet = Fleet::new(3, 3).unwrap();
    fleet.start().unwrap();
    fleet.apply(CONFIG).unwrap();
    fleet.add_upstreams("bank", 1, &[]).unwrap();
    let first = pay(&fleet, 0, "k1", "10 naira");
    assert_eq!((first.0, first.1.as_str()), (200, "run"));
    for daemon in 0..3 {
        assert_eq!(pay(&fleet, daemon, "k1", "10 naira"), first);
    }
    let other = pay(&fleet, 1, "k1", "20 naira");
    assert_eq!((other.0, other.1.as_str()), (422, "not-run"));
    assert_eq!(other.2, r#"{"error":"`Idempotency-Key` was used before with another body"}"#);
    fleet.daemons[0].kill();
    fleet.daemons[0].start().unwrap();
    fleet.wait_healthy().unwrap();
    for daemon in 0..3 {
        let resend = pay(&fleet, daemon, "k1", "10 naira");
        assert_eq!((resend.0, resend.1.as_str()), (502, "unknown"));
    }
    let second = pay(&fleet, 1, "k2", "30 naira");
    let answer: serde_json::Value = serde_json::from_str(&second.2).unwrap();
    assert_eq!(answer["run"], 2);
}
