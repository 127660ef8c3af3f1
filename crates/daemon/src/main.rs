//! The daemon of sardinevalve.

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::run()
}
