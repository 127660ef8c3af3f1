//! The load and experiment tool of sardinevalve.

use std::process::ExitCode;

fn main() -> ExitCode {
    bench::run()
}
