//! Tests `sardinevalve report` as a program.

use std::process::{Command, Output};

const CENTRAL: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../report/tests/logs/central.txt");
const WESTERN: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../report/tests/logs/western.txt");

fn report(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sardinevalve"));
    command.arg("report").args(arguments).output().expect("the program can be run")
}

#[test]
fn logs_of_several_daemons_make_one_report() {
    let output = report(&[CENTRAL, WESTERN]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the report is UTF-8");
    assert!(text.starts_with("14 jobs ended; 12 missed their objective"), "{text}");
}

#[test]
fn a_report_can_be_had_as_json_and_as_an_image() {
    let image = std::env::temp_dir().join(format!("report-{}.svg", std::process::id()));
    let output = report(&["--json", "--svg", image.to_str().expect("the path is UTF-8"), WESTERN]);
    assert!(output.status.success());
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("valid JSON");
    assert_eq!(json["total"]["late"], 4);
    let drawn = std::fs::read_to_string(&image).expect("the image was written");
    std::fs::remove_file(&image).expect("the image can be removed");
    assert!(drawn.starts_with("<svg"));
}

/// Guards against an empty report that hides a mistyped name.
#[test]
fn a_log_that_cannot_be_read_is_an_error() {
    let output = report(&["/nowhere/day.log"]);
    assert!(!output.status.success());
    let error = String::from_utf8(output.stderr).expect("the message is UTF-8");
    assert!(error.contains("cannot read `/nowhere/day.log`"), "{error}");
}
