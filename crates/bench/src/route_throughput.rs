//! Events per second that one dispatcher handles on one core.

use super::*;

/// Requests per measurement.
const REQUESTS: u64 = 1_000_000;

/// Largest number of concurrent requests per upstream.
const IN_FLIGHT: usize = 4;

/// Numbers of upstreams that are measured.
const UPSTREAM_COUNTS: [usize; 4] = [50, 150, 300, 660];

/// Measures each number of upstreams, and prints a table.
pub(crate) fn run(seed: u64) {
    println!("| upstreams | events | events/s |\n|---|---|---|");
    for upstreams in UPSTREAM_COUNTS {
        let (events, took) = measure(upstreams, seed);
        println!("| {upstreams} | {events} | {:.0} |", events as f64 / took.as_secs_f64());
    }
}

/// Number of events, and the time to handle them.
fn measure(upstreams: usize, seed: u64) -> (u64, Duration) {
    let mut state = prepare(upstreams);
    let (service, kind, tenant) = (service(0), Name::from("quote"), Name::from("tenant"));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut running = Vec::new();
    let started = Instant::now();
    let (mut events, mut now) = (0, Duration::ZERO);
    for id in 0..REQUESTS {
        now += Duration::from_micros(2);
        let request = route::Request {
            id,
            service: service.clone(),
            kind: kind.clone(),
            tenant: tenant.clone(),
            key: None,
            fingerprint: route::Fingerprint::default(),
            timeout: None,
        };
        running.extend(attempts(state.reduce(now, route::Event::Arrive(request))));
        events += 1;
        if running.len() >= upstreams * IN_FLIGHT {
            let attempt = running.swap_remove(rng.random_range(0..running.len()));
            let report = route::Report::Answered;
            running.extend(attempts(
                state.reduce(now, route::Event::AttemptEnded { attempt, report }),
            ));
            events += 1;
        }
    }
    (events, started.elapsed())
}

/// Ids of the attempts that `effects` start.
fn attempts(effects: Vec<route::Effect>) -> impl Iterator<Item = u64> {
    effects.into_iter().filter_map(|effect| match effect {
        route::Effect::Attempt(attempt) => Some(attempt.id),
        _ => None,
    })
}

/// The only dispatcher of a fleet, which therefore is the broker.
fn prepare(upstreams: usize) -> route::State {
    let name = simulation::name(0);
    let mut state = route::State::new(name.clone(), 1, route::Policy::Broker);
    let join = route::Command::Join { daemon: name, boot: 1 };
    let now = Duration::ZERO;
    state.reduce(now, route::Event::View(true));
    state.reduce(now, route::Event::Configured(Arc::new(dispatch::config())));
    if let Some(decision) = route::ReplicatedState::default().apply(join) {
        state.reduce(now, route::Event::Decided(decision));
    }
    for number in 0..upstreams {
        let announcement = dispatch::announcement(number, 0);
        state.reduce(now, route::Event::Serving(announcement));
    }
    state
}
