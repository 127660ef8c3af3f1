//! The operators' command-line tool of sardinevalve.

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
