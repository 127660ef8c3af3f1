//! Stand-ins for clients, runners, the operator and the platform, and the script cases that use
//! them. It needs only the standard library: `review/build.sh` compiles it with `rustc`.

mod cases;
mod fleet;
mod http;
mod platform;
mod runner;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["runner", ..] => runner::run(&arguments[1..]),
        ["config-growth", folder] => cases::config_growth(folder),
        ["same-id", folder] => cases::same_id(folder),
        ["restart", folder] => cases::restart(folder),
        ["runner-crashes", folder] => cases::runner_crashes(folder),
        _ => {
            eprintln!("usage: standins CASE FOLDER");
            2
        }
    };
    exit(code);
}
