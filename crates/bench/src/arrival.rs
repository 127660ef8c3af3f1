use super::*;

/// A request in the dispatch experiment.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    /// Daemon to which the load balancer sends the request.
    pub(crate) daemon: usize,
    pub(crate) service: usize,
    pub(crate) kind: usize,
    /// Run time on an upstream of normal speed.
    pub(crate) run: Duration,
}

/// A kind of request in the dispatch experiment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) weight: u32,
    pub(crate) deadline: Duration,
    /// Mean run time.
    mean: Duration,
    /// Share of all requests, in percent.
    share: u32,
}

pub(crate) const CLASSES: [Class; 3] = [
    Class {
        name: "payout",
        weight: 5,
        deadline: Duration::from_millis(2000),
        mean: Duration::from_millis(40),
        share: 20,
    },
    Class {
        name: "quote",
        weight: 1,
        deadline: Duration::from_millis(500),
        mean: Duration::from_millis(30),
        share: 70,
    },
    Class {
        name: "digest",
        weight: 2,
        deadline: Duration::from_millis(4000),
        mean: Duration::from_millis(200),
        share: 10,
    },
];

/// Length of the burst of a service. The bursts of the services follow one another.
const BURST_LENGTH: Duration = Duration::from_secs(4);

/// Time before the first burst.
const WARM_UP: Duration = Duration::from_secs(2);

/// Mean demand of a service, in percent of the capacity of its upstreams.
const MEAN_LOAD_PERCENT: f64 = 40.0;

/// Demand during the burst of a service, relative to the mean.
const BURST_FACTOR: f64 = 5.0;

/// Demand of a service, relative to the mean, in the lull that follows its burst and lasts as long.
const LULL_FACTOR: f64 = 0.05;

/// Tail index of the Pareto distribution of run times.
const TAIL_INDEX: f64 = 1.6;

/// Longest run time, relative to the mean.
const MAX_RUN_FACTOR: f64 = 30.0;

/// The arrivals of a run, in order of time; `slots` holds the slots of each service.
pub(crate) fn arrivals(rng: &mut ChaCha8Rng, slots: &[u32], daemons: usize) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (service, slots) in slots.iter().enumerate() {
        let mean_run: f64 =
            CLASSES.iter().map(|it| it.mean.as_secs_f64() * f64::from(it.share) / 100.0).sum();
        let mean_rate = f64::from(*slots) / mean_run * MEAN_LOAD_PERCENT / 100.0;
        let mut at = 0.0;
        while at < end().as_secs_f64() {
            let rate = mean_rate * demand(service, at);
            at -= (1.0 - rng.random::<f64>()).ln() / rate;
            all.push(random_arrival(rng, at, service, daemons));
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// End of the last burst.
pub(crate) fn end() -> Duration {
    WARM_UP + BURST_LENGTH * SERVICES as u32
}

/// Demand of a service at a time, relative to its mean.
fn demand(service: usize, at: f64) -> f64 {
    let bursts = (at - WARM_UP.as_secs_f64()) / BURST_LENGTH.as_secs_f64();
    if bursts < 0.0 {
        return 1.0;
    }
    match (bursts as usize, service) {
        (burst, service) if burst == service => BURST_FACTOR,
        (burst, service) if burst == service + 1 => LULL_FACTOR,
        _ => 1.0,
    }
}

/// A request at a time, with random daemon, kind and run time.
fn random_arrival(rng: &mut ChaCha8Rng, at: f64, service: usize, daemons: usize) -> Arrival {
    let mut roll = rng.random_range(0..100);
    let kind = CLASSES.iter().position(|class| {
        let hit = roll < class.share;
        roll = roll.saturating_sub(class.share);
        hit
    });
    let kind = kind.unwrap_or_default();
    let mean = CLASSES[kind].mean.as_secs_f64();
    let shortest = mean * (TAIL_INDEX - 1.0) / TAIL_INDEX;
    let run = shortest / (1.0 - rng.random::<f64>()).powf(1.0 / TAIL_INDEX);
    Arrival {
        at: Duration::from_secs_f64(at),
        daemon: rng.random_range(0..daemons),
        service,
        kind,
        run: Duration::from_secs_f64(run.min(mean * MAX_RUN_FACTOR)),
    }
}
