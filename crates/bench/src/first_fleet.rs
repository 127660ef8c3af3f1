//! The first fleet that a newcomer starts.

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

/// The change that an operator makes.
const CHANGE: &str = "[kind payout]\nidempotent = false\nweight = 5\ndeadline-ms = 5000\n";

pub(crate) fn run() -> eyre::Result<()> {
    let mut fleet = Fleet::new(3, 3)?;
    fleet.start()?;
    println!("started 3 daemons");
    report("apply", &fleet.apply(CONFIG)?);
    fleet.add_upstreams("quotes", 2, &[])?;
    println!("announced 2 upstreams of `quotes`");
    let response = fleet.daemons[1].call("quotes", "quote", "12 cards")?;
    let outcome = response.headers().get("Sardinevalve-Outcome").cloned();
    let outcome = outcome.and_then(|value| value.to_str().map(str::to_owned).ok());
    println!("answered {} with outcome `{}`", response.status(), outcome.unwrap_or_default());
    println!("{}", response.text()?);
    let started = Instant::now();
    report("change", &fleet.apply(&format!("{CONFIG}{CHANGE}"))?);
    println!("in force everywhere after {} ms:", started.elapsed().as_millis());
    for daemon in &fleet.daemons {
        println!("  {} acts on revision {}", daemon.name, daemon.revision().unwrap_or_default());
    }
    report("status", &fleet.daemons[2].operate(&["status"])?);
    println!("look further: README.md, and docs/ for operators");
    Ok(())
}

fn report(what: &str, output: &Output) {
    print!("{what}: {}", String::from_utf8_lossy(&output.stdout));
    eprint!("{}", String::from_utf8_lossy(&output.stderr));
}
