//! What daemons spend on control while nobody calls: bytes, processor and memory a daemon, for a
//! number of daemons and of upstreams that renew.

use super::*;

/// What the experiment measures.
#[derive(Debug, Serialize)]
struct Figures {
    experiment: &'static str,
    daemons: usize,
    upstreams: usize,
    seconds: u64,
    leader: Spent,
    /// The most that any other daemon spends.
    others: Spent,
}

/// What one daemon spends.
#[derive(Debug, Default, Clone, Copy, Serialize)]
struct Spent {
    bytes_per_second: f64,
    core_percent: f64,
    memory_mib: f64,
}

/// Daemons that vote.
const VOTERS: usize = 5;

/// Services over which the upstreams are spread.
const SERVICES: usize = 5;

pub(crate) fn run(daemons: usize, upstreams: usize, seconds: u64) -> eyre::Result<()> {
    let mut fleet = Fleet::new(daemons, VOTERS.min(daemons))?;
    fleet.start()?;
    let services: String = (0..SERVICES).map(|i| format!("[service s{i}]\n")).collect();
    fleet.apply(&services)?;
    for service in 0..SERVICES {
        fleet.add_upstreams(&format!("s{service}"), upstreams / SERVICES, &[])?;
    }
    let leader = fleet.leader().ok_or_else(|| eyre::eyre!("no daemon leads"))?;
    let before = sample(&mut fleet)?;
    thread::sleep(Duration::from_secs(seconds));
    let after = sample(&mut fleet)?;
    let spent: Vec<_> = before.iter().zip(&after).map(|(b, a)| spent(b, a, seconds)).collect();
    let others = spent.iter().enumerate().filter(|(i, _)| *i != leader).map(|(_, spent)| *spent);
    let figures = Figures {
        experiment: "idle",
        daemons,
        upstreams,
        seconds,
        leader: spent[leader],
        others: others.fold(Spent::default(), most),
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

fn sample(fleet: &mut Fleet) -> eyre::Result<Vec<(u64, Usage)>> {
    let mut samples = Vec::new();
    for i in 0..fleet.daemons.len() {
        let bytes = fleet.network.bytes(i);
        let id = fleet.daemons[i].program().map(|program| program.id());
        samples.push((bytes, Usage::of(id.ok_or_else(|| eyre::eyre!("a daemon has ended"))?)?));
    }
    Ok(samples)
}

fn spent(before: &(u64, Usage), after: &(u64, Usage), seconds: u64) -> Spent {
    let processor = after.1.processor.saturating_sub(before.1.processor).as_secs_f64();
    Spent {
        bytes_per_second: (after.0 - before.0) as f64 / seconds as f64,
        core_percent: processor / seconds as f64 * 100.0,
        memory_mib: after.1.memory as f64 / f64::from(1 << 20),
    }
}

fn most(a: Spent, b: Spent) -> Spent {
    Spent {
        bytes_per_second: a.bytes_per_second.max(b.bytes_per_second),
        core_percent: a.core_percent.max(b.core_percent),
        memory_mib: a.memory_mib.max(b.memory_mib),
    }
}
