use super::*;

/// A request of the dispatch experiment.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    /// Daemon that the balancer picks.
    pub(crate) daemon: usize,
    pub(crate) service: usize,
    pub(crate) kind: usize,
    /// Run time on an upstream of common speed.
    pub(crate) run: Duration,
}

/// A kind of the dispatch experiment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) weight: u32,
    pub(crate) deadline: Duration,
    /// Mean of the run times.
    mean: Duration,
    /// Share of the requests, in percent.
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

/// Length of one service's turn.
const TURN: Duration = Duration::from_secs(4);

/// Time before the first turn.
const WARM_UP: Duration = Duration::from_secs(2);

/// Demand of a service at its mean, against what its pool can run, in percent.
const MEAN_LOAD_PERCENT: f64 = 40.0;

/// Demand during a service's turn, against its mean.
const BURST: f64 = 5.0;

/// Demand after a service's turn, against its mean.
const LULL: f64 = 0.05;

/// Tail index of the run times.
const TAIL: f64 = 1.6;

/// Longest run time against the mean.
const MAX_TAIL: f64 = 30.0;

/// Every arrival of a run over `slots` of each service, in order.
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
            all.push(draw(rng, at, service, daemons));
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// When the last turn is over.
pub(crate) fn end() -> Duration {
    WARM_UP + TURN * SERVICES as u32
}

fn demand(service: usize, at: f64) -> f64 {
    let turn = (at - WARM_UP.as_secs_f64()) / TURN.as_secs_f64();
    if turn < 0.0 {
        return 1.0;
    }
    match (turn as usize, service) {
        (turn, service) if turn == service => BURST,
        (turn, service) if turn == service + 1 => LULL,
        _ => 1.0,
    }
}

fn draw(rng: &mut ChaCha8Rng, at: f64, service: usize, daemons: usize) -> Arrival {
    let mut dice = rng.random_range(0..100);
    let kind = CLASSES.iter().position(|class| {
        let hit = dice < class.share;
        dice = dice.saturating_sub(class.share);
        hit
    });
    let kind = kind.unwrap_or_default();
    let mean = CLASSES[kind].mean.as_secs_f64();
    let shortest = mean * (TAIL - 1.0) / TAIL;
    let run = shortest / (1.0 - rng.random::<f64>()).powf(1.0 / TAIL);
    Arrival {
        at: Duration::from_secs_f64(at),
        daemon: rng.random_range(0..daemons),
        service,
        kind,
        run: Duration::from_secs_f64(run.min(mean * MAX_TAIL)),
    }
}
