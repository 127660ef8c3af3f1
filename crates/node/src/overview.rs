use super::*;

/// Summary of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// Number of available instances and of all instances, by pool.
    pub pools: BTreeMap<Name, (u32, u32)>,
    /// The outage that counts against each budget, and the number of further instances that it lets
    /// decisions make unavailable.
    pub budgets: BTreeMap<Name, (fleet::Outage, u32)>,
    /// Maintenance waves that have not ended.
    pub waves: BTreeMap<Name, Summary>,
    /// Unavailable instances, each with the reason.
    pub unavailable: BTreeMap<Name, Name>,
}

impl Overview {
    /// Summarises `fleet`.
    pub fn new(fleet: &fleet::State) -> Self {
        let mut overview = Self { waves: summaries(fleet, false), ..Self::default() };
        for name in fleet.config().pools.keys() {
            overview.pools.insert(name.clone(), (0, 0));
        }
        for (name, upstream) in fleet.upstreams() {
            let available = fleet.is_available(upstream);
            if let Some(tenure) = &upstream.tenure {
                let pool = overview.pools.entry(tenure.pool.clone()).or_default();
                pool.0 += u32::from(fleet.is_serving(upstream));
                pool.1 += 1;
            }
            if !available {
                overview.unavailable.insert(name.clone(), unavailability(upstream).into());
            }
        }
        let tally = fleet::Tally::count(fleet);
        for (name, budget) in &fleet.config().budgets {
            let outage = tally.get(name);
            overview.budgets.insert(name.clone(), (outage, outage.disruptions_allowed(budget)));
        }
        overview
    }
}

/// Summaries of the waves; `include_ended` adds those that have ended.
pub(crate) fn summaries(fleet: &fleet::State, include_ended: bool) -> BTreeMap<Name, Summary> {
    let waves = fleet.waves().iter().filter(|(_, wave)| include_ended || !wave.standing.ended());
    let waits = fleet::Planner::waits(fleet);
    waves.map(|(name, wave)| (name.clone(), summary(fleet, wave, waits.get(name)))).collect()
}

fn summary(fleet: &fleet::State, wave: &fleet::Wave, wait: Option<&fleet::Wait>) -> Summary {
    let mut counts = BTreeMap::new();
    for progress in wave.instances.values() {
        *counts.entry(progress.to_string().into()).or_default() += 1;
    }
    let wait = match wave.standing {
        fleet::Standing::Stopped => Some("waits for an operator to resume or cancel it".into()),
        fleet::Standing::Paused => Some("waits for an operator to resume it".into()),
        _ => wait.map(|wait| wait.to_string().into()),
    };
    Summary {
        standing: wave.standing,
        counts,
        elapsed: wave.ended.unwrap_or(fleet.now()).saturating_sub(wave.started),
        estimate: wave.estimate(fleet.now()),
        wait,
    }
}

/// Describes the current state of an instance.
pub(crate) fn describe(upstream: &fleet::Upstream) -> String {
    let pool = match &upstream.tenure {
        Some(tenure) if tenure.is_lent() => {
            format!("in pool `{}`, lent by `{}`", tenure.pool, tenure.home)
        }
        Some(tenure) => format!("in pool `{}`", tenure.pool),
        None => "in no pool".into(),
    };
    let available = upstream.grant.is_none()
        && upstream.presence == fleet::Presence::Serving
        && !upstream.failed;
    if available { pool } else { format!("{pool}, {}", unavailability(upstream)) }
}

/// The reason for which an instance is unavailable.
fn unavailability(upstream: &fleet::Upstream) -> String {
    match (&upstream.grant, upstream.presence) {
        (Some(grant), _) => format!("{} for {}", grant.phase, grant.purpose),
        (None, fleet::Presence::Serving) if upstream.failed => "failed to return".into(),
        (None, fleet::Presence::Serving) if upstream.pools.len() > 1 => "in several pools".into(),
        (None, fleet::Presence::Serving) => "in no pool".into(),
        (None, presence) => presence.to_string(),
    }
}
