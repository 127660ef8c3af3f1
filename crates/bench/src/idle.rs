//! Cost of the control plane without callers: traffic, processor time and memory of each daemon
//! while upstreams renew their announcements.

use super::*;

/// Result of the experiment.
#[derive(Debug, Serialize)]
struct Figures {
    experiment: &'static str,
    daemons: usize,
    upstreams: usize,
    seconds: u64,
    leader: Cost,
    /// Maximum of each figure over all other daemons.
    others: Cost,
}

/// Cost of one daemon.
#[derive(Debug, Default, Clone, Copy, Serialize)]
struct Cost {
    bytes_per_second: f64,
    core_percent: f64,
    memory_mib: f64,
}

/// Number of daemons that are voters.
const VOTERS: usize = 5;

/// Number of services over which the upstreams are distributed.
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
    let costs: Vec<_> = before.iter().zip(&after).map(|(b, a)| cost(b, a, seconds)).collect();
    let others = costs.iter().enumerate().filter(|(i, _)| *i != leader).map(|(_, cost)| *cost);
    let figures = Figures {
        experiment: "idle",
        daemons,
        upstreams,
        seconds,
        leader: costs[leader],
        others: others.fold(Cost::default(), maximum),
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

/// Traffic in bytes and resource usage of each daemon since its start.
fn sample(fleet: &mut Fleet) -> eyre::Result<Vec<(u64, Usage)>> {
    let mut samples = Vec::new();
    for i in 0..fleet.daemons.len() {
        let bytes = fleet.network.bytes(i);
        let id = fleet.daemons[i].program().map(|program| program.id());
        samples.push((bytes, Usage::of(id.ok_or_else(|| eyre::eyre!("a daemon is down"))?)?));
    }
    Ok(samples)
}

fn cost(before: &(u64, Usage), after: &(u64, Usage), seconds: u64) -> Cost {
    let processor = after.1.processor.saturating_sub(before.1.processor).as_secs_f64();
    Cost {
        bytes_per_second: (after.0 - before.0) as f64 / seconds as f64,
        core_percent: processor / seconds as f64 * 100.0,
        memory_mib: after.1.memory as f64 / f64::from(1 << 20),
    }
}

fn maximum(a: Cost, b: Cost) -> Cost {
    Cost {
        bytes_per_second: a.bytes_per_second.max(b.bytes_per_second),
        core_percent: a.core_percent.max(b.core_percent),
        memory_mib: a.memory_mib.max(b.memory_mib),
    }
}
