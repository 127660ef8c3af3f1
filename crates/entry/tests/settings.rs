//! Tests that the daemon checks its settings file completely and reports every problem.

use std::process::{Command, Output};

fn check(text: &str) -> Output {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("entry.ini");
    std::fs::write(&path, text).expect("settings are written");
    let program = env!("CARGO_BIN_EXE_sardinevalve-entry");
    Command::new(program).arg("--check").arg(&path).output().expect("the program runs")
}

#[test]
fn settings_that_cannot_be_used_are_reported_whole() {
    let output = check("[daemon]\nid = a\nbogus = 1\n[peers]\naddress = x\nseeds = 1.2.3.4\n");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for finding in ["data-center", "bogus", "listen", "port", "address", "seeds"] {
        assert!(text.contains(finding), "`{finding}` is not in {text}");
    }
}

#[test]
fn settings_with_empty_values_are_valid() {
    let output = check(
        "[daemon]\nid = a\ndata-center = dc\ndata =\n[listen]\ncallers =\n\
         [peers]\naddress = 127.0.0.1\nport = 7000\nseeds = 127.0.0.1:1,127.0.0.2:1\n\
         founding = true\n[machines]\naddress =\n[bounds]\nstop-grace-s = 1.5\n",
    );
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let program = env!("CARGO_BIN_EXE_sardinevalve-entry");
    let output =
        Command::new(program).arg("/nowhere/entry.ini").output().expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/entry.ini"));
}

#[test]
fn policies_are_switched_on_or_off_by_name() {
    let daemon =
        "[daemon]\nid = a\ndata-center = dc\n[listen]\n[peers]\naddress = 127.0.0.1\nport = 7000\n";
    let output = check(&format!("{daemon}[policies]\npacking = off\nparking = on\n"));
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    let output = check(&format!("{daemon}[policies]\npacking = maybe\npakcing = off\n"));
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for finding in ["`maybe` is neither `on` nor `off`", "pakcing"] {
        assert!(text.contains(finding), "`{finding}` is not in {text}");
    }
}
