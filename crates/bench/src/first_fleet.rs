//! A small demonstration: starts a fleet, sends a request and changes the configuration.

use super::*;

/// Configuration of the fleet.
const CONFIG: &str = "\
[service quotes]
[kind quote]
idempotent = true
weight = 1
deadline-ms = 2000
[pool quotes]
selector = service=quotes
";

/// Section that the change adds.
const CHANGE: &str = "[kind payout]\nidempotent = false\nweight = 5\ndeadline-ms = 5000\n";

pub(crate) fn run() -> eyre::Result<()> {
    let mut fleet = Fleet::new(3, 3)?;
    fleet.start()?;
    println!("started 3 daemons");
    print_output("apply", &fleet.apply(CONFIG)?);
    fleet.add_upstreams("quotes", 2, &[])?;
    println!("announced 2 upstreams of `quotes`");
    let response = fleet.daemons[1].call("quotes", "quote", "12 cards")?;
    let outcome = response.headers().get("Sardinevalve-Outcome").cloned();
    let outcome = outcome.and_then(|value| value.to_str().map(str::to_owned).ok());
    println!("answered {} with outcome `{}`", response.status(), outcome.unwrap_or_default());
    println!("{}", response.text()?);
    let started = Instant::now();
    print_output("change", &fleet.apply(&format!("{CONFIG}{CHANGE}"))?);
    println!("in force everywhere after {} ms:", started.elapsed().as_millis());
    for daemon in &fleet.daemons {
        println!("  {} acts on revision {}", daemon.name, daemon.revision().unwrap_or_default());
    }
    print_output("status", &fleet.daemons[2].operate(&["status"])?);
    println!("next: see README.md, and docs/ for operators");
    Ok(())
}

fn print_output(what: &str, output: &Output) {
    print!("{what}: {}", String::from_utf8_lossy(&output.stdout));
    eprint!("{}", String::from_utf8_lossy(&output.stderr));
}
