//! Runs the load tests and experiments of sardinevalve.

use std::process::ExitCode;

fn main() -> ExitCode {
    bench::run()
}
