//! Daemon of an entry instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    entry::run()
}
