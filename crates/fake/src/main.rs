//! Stand-ins for what surrounds the daemons.

use std::process::ExitCode;

fn main() -> ExitCode {
    fake::run()
}
