//! Snapshot of the help text.

use std::process::Command;

#[test]
fn help_names_every_argument() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_sardinevalve-fake")).arg("--help").output().unwrap();
    insta::assert_snapshot!(String::from_utf8(output.stdout).unwrap());
}
