//! Simulators of the systems around the daemons, for tests.

use std::process::ExitCode;

fn main() -> ExitCode {
    fake::run()
}
