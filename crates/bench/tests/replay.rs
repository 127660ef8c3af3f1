//! Replaying the recorded events of a daemon gives the same effects.

#![allow(clippy::unwrap_used)]

use bench::{Fleet, Program};

const CONFIG: &str = "[service quotes]\n[kind quote]\nidempotent = true\n";

#[test]
fn recorded_events_give_the_same_effects() {
    let mut fleet = Fleet::new(3, 3).unwrap();
    let recording = fleet.folder().join("recording").display().to_string();
    fleet.daemons[0].arguments = vec!["--record".into(), recording.clone()];
    fleet.start().unwrap();
    fleet.apply(CONFIG).unwrap();
    fleet.add_upstreams("quotes", 2, &["--fault", "close", "--fault-share", "0.5"]).unwrap();
    for _ in 0..20 {
        fleet.daemons[0].call("quotes", "quote", "one card").unwrap();
    }
    let program = fleet.daemons[0].program().unwrap();
    program.signal("TERM").unwrap();
    assert_eq!(program.wait().unwrap(), Some(0));
    let output = Program::output("sardinevalved", &["replay", &recording]).unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).unwrap();
    let events: u64 = text.strip_suffix(" events, same effects\n").unwrap().parse().unwrap();
    assert!(events > 100, "{text}");
}

#[test]
fn replay_reports_the_first_event_whose_effects_differ() {
    let mut fleet = Fleet::new(1, 1).unwrap();
    let recording = fleet.folder().join("recording");
    fleet.daemons[0].arguments = vec!["--record".into(), recording.display().to_string()];
    fleet.start().unwrap();
    fleet.daemons[0].kill();
    let mut bytes = std::fs::read(&recording).unwrap();
    let origin = u32::from_le_bytes(bytes[..4].try_into().unwrap()) as usize + 4;
    let first = u32::from_le_bytes(bytes[origin..origin + 4].try_into().unwrap()) as usize;
    bytes[origin + 4 + first - 2] ^= 1;
    std::fs::write(&recording, bytes).unwrap();
    let path = recording.display().to_string();
    let output = Program::output("sardinevalved", &["replay", &path]).unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.starts_with("effects of event 1 differ: `Start`"), "{error}");
}
